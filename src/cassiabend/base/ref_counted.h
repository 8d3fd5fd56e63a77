#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace cassiabend {

/// \brief Base of objects with an intrusive atomic reference count.
template <typename T>
using RefCounted = boost::intrusive_ref_counter<T, boost::thread_safe_counter>;

/// \brief Shared owner of a `RefCounted` object.
template <typename T>
using RefPtr = boost::intrusive_ptr<T>;

}  // namespace cassiabend
