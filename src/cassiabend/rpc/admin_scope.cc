#include "cassiabend/rpc/admin_scope.h"

#include <string>
#include <vector>

#include "cassiabend/rpc/admin_tokens.h"

namespace cassiabend {
namespace {

CommitResult Refusal(const OperatorToken& who,
                     const ChangeId& change_id,
                     std::string path,
                     const std::string& tenant) {
  CommitResult out;
  out.code = CommitCode::kNotAuthorised;
  out.path = std::move(path);
  out.reason =
      "operator \"" + who.name + "\" may not change " +
      (tenant.empty() ? "shared items" : "items of tenant \"" + tenant + "\"");
  out.change_id = change_id;
  return out;
}

template <typename Item>
std::optional<std::string> TenantIn(const std::vector<Item>& items,
                                    const std::string& name) {
  for (const Item& it : items) {
    if (it.name == name) {
      return it.tenant;
    }
  }
  return std::nullopt;
}

std::optional<std::string> PresentTenant(const Config& config,
                                         const ItemRef& item) {
  switch (item.kind) {
    case ItemKind::kSite:
      return TenantIn(config.sites, item.name);
    case ItemKind::kService:
      return TenantIn(config.services, item.name);
    case ItemKind::kRoute:
      return TenantIn(config.routes, item.name);
    case ItemKind::kWindow:
      return TenantIn(config.windows, item.name);
  }
  return std::nullopt;
}

/// \brief The tenant of the item that an edit puts; unset for a removal.
struct NewTenant {
  std::optional<std::string> operator()(const ItemRef& /*it*/) const {
    return std::nullopt;
  }
  template <typename Item>
  std::optional<std::string> operator()(const Item& it) const {
    return it.tenant;
  }
};

}  // namespace

std::optional<CommitResult> CheckScope(const OperatorToken& who,
                                       const Change& change,
                                       const Config* present) {
  for (const Edit& it : change.edits) {
    const ItemRef target = TargetOf(it);
    const std::optional<std::string> tenants[] = {
        std::visit(NewTenant{}, it.action),
        present == nullptr ? std::nullopt : PresentTenant(*present, target)};
    for (const auto& tenant : tenants) {
      if (tenant && !MayChangeTenant(who, *tenant)) {
        return Refusal(who, change.id, PathOf(target), *tenant);
      }
    }
  }
  return std::nullopt;
}

std::optional<CommitResult> CheckWholeScope(const OperatorToken& who,
                                            const ChangeId& change_id) {
  if (MayChangeTenant(who, "")) {
    return std::nullopt;
  }
  return Refusal(who, change_id, "", "");
}

}  // namespace cassiabend
