#include "cassiabend/rpc/admin_codec.h"

#include "cassiabend/model/codec.h"
#include "cassiabend/rpc/mesh_codec.h"

namespace cassiabend {

void ToWire(const CommitResult& result, schema::Error::Builder out) {
  out.setCode(static_cast<schema::ErrorCode>(result.code));
  out.setPath(result.path);
  out.setReason(result.reason);
  out.setConflictNumber(result.conflict_number);
  ToWire(result.change_id, out.initChangeId());
}

CommitResult FromWire(schema::Error::Reader in) {
  const auto code = static_cast<std::uint16_t>(in.getCode());
  CommitResult out;
  // A code that only a newer release knows leaves the outcome unknown.
  out.code = code > static_cast<std::uint16_t>(CommitCode::kBusy)
                 ? CommitCode::kOutcomeUnknown
                 : static_cast<CommitCode>(code);
  out.path = in.getPath().cStr();
  out.reason = in.getReason().cStr();
  out.conflict_number = in.getConflictNumber();
  out.change_id = FromWire(in.getChangeId());
  return out;
}

void ToWire(const MemberView& view, schema::NodeStatus::Builder out) {
  ToWire(view.member, out.initMember());
  ToWire(view.mark, out.initMark());
  out.setConfirmedAgeMs(ToWireAge(view.confirmed_age));
  out.setMarkAgeMs(ToWireAge(view.mark_age));
}

MemberView FromWire(schema::NodeStatus::Reader in) {
  return {FromWire(in.getMember()), FromWire(in.getMark()),
          FromWireAge(in.getConfirmedAgeMs()), FromWireAge(in.getMarkAgeMs())};
}

void ToWire(const Change& change, schema::Change::Builder out) {
  ToWire(change.id, out.initId());
  auto edits = out.initEdits(static_cast<unsigned>(change.edits.size()));
  unsigned i = 0;
  for (const Edit& it : change.edits) {
    ToWire(it, edits[i++]);
  }
}

Change FromWire(schema::Change::Reader in) {
  Change out;
  out.id = FromWire(in.getId());
  for (const auto it : in.getEdits()) {
    out.edits.push_back(FromWire(it));
  }
  return out;
}

}  // namespace cassiabend
