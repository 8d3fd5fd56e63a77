#include "cassiabend/ctl/commands.h"

#include <ostream>
#include <utility>

#include "cassiabend/ctl/input.h"
#include "cassiabend/model/json.h"
#include "cassiabend/model/json_object_reader.h"

namespace cassiabend {
namespace {

VersionNumber RevisionOf(const boost::json::value& item) {
  return item.is_null() ? 0 : item.at("revision").to_number<VersionNumber>();
}

boost::json::value WithoutRevision(boost::json::value item) {
  if (item.is_object()) {
    item.get_object().erase("revision");
  }
  return item;
}

/// \returns Whether the edit leaves the item `current` unchanged.
bool IsNoOp(const Edit& edit, const boost::json::value& current) {
  return WithoutRevision(current) == WithoutRevision(PutItemJson(edit));
}

}  // namespace

ExitCode Commands::PutItem(const ItemKindHandler& kind) {
  const std::string& word = line_.words.front();
  boost::json::object item = line_.fields;
  if (word.starts_with('{')) {
    if (!item.empty()) {
      FailUsage("put", "give either a JSON object or field options");
    }
    item = AsObject(ParseJsonText(word), "item");
  } else {
    item["name"] = word;
  }
  return CommitEdits({kind.put(item)});
}

ExitCode Commands::RemoveItem(const ItemKindHandler& kind) {
  Edit edit;
  edit.action = ItemRef{kind.kind, line_.words.front()};
  return CommitEdits({edit});
}

ExitCode Commands::Apply() {
  return CommitEdits(
      ParseEditsJson(ReadFile(line_.words.front(), streams_.in)));
}

ExitCode Commands::Rollback() {
  const VersionNumber number = NumberArgument(0);
  return Submit([this, number](AdminClient& client) {
    return client.Rollback(number, change_id_);
  });
}

ExitCode Commands::Recover() {
  return Submit(
      [this](AdminClient& client) { return client.Recover(change_id_); });
}

ExitCode Commands::Drain() {
  NodeId node;
  if (!ParseNodeId(line_.words.front(), &node)) {
    FailUsage("drain", "\"" + line_.words.front() + "\" is not IP:PORT");
  }
  const CommitResult result =
      caller().Change([&](AdminClient& client) { return client.Drain(node); });
  if (result.code != CommitCode::kOk) {
    return ReportFailure(result);
  }
  if (line_.json) {
    PrintJson({{"node", ToString(node)}, {"draining", true}});
  } else {
    streams_.out << "asked " << ToString(node) << " to drain\n";
  }
  return ExitCode::kOk;
}

ExitCode Commands::CommitEdits(std::vector<Edit> edits) {
  Config current;
  const CommitResult result = caller().Read(
      [&](AdminClient& client) { return client.GetConfig(0, &current); });
  // Before the first version, there is nothing to compare the edits with.
  if (result.code != CommitCode::kOk && result.code != CommitCode::kNotFound) {
    return ReportFailure(result);
  }
  for (Edit& it : edits) {
    if (!it.expected_revision) {
      it.expected_revision = RevisionOf(CurrentItemJson(current, TargetOf(it)));
    }
  }
  Change change{change_id_, {}, edits};
  // A change that an earlier run may have sent must be sent again unchanged.
  if (line_.change_id.IsZero()) {
    std::erase_if(change.edits, [&](const Edit& it) {
      return IsNoOp(it, CurrentItemJson(current, TargetOf(it)));
    });
  }
  ShowDifference(current, change.edits);
  if (change.edits.empty()) {
    change.edits = std::move(edits);
    return ReportNoChange(change, current.number);
  }
  return Submit([this, change](AdminClient& client) {
    return client.Commit(change, line_.dry_run);
  });
}

void Commands::ShowDifference(const Config& current,
                              const std::vector<Edit>& edits) {
  if (line_.json) {
    return;
  }
  for (const Edit& it : edits) {
    const ItemRef target = TargetOf(it);
    const boost::json::value before =
        WithoutRevision(CurrentItemJson(current, target));
    const boost::json::value after = WithoutRevision(PutItemJson(it));
    if (!before.is_null()) {
      streams_.out << "- " << PathOf(target) << " " << before << "\n";
    }
    if (!after.is_null()) {
      streams_.out << "+ " << PathOf(target) << " " << after << "\n";
    }
  }
}

ExitCode Commands::ReportNoChange(const Change& change, VersionNumber current) {
  // The node's version may be older than the store's head. A dry run reads the
  // head, and reports a conflict if an item has changed since.
  if (!change.edits.empty()) {
    const CommitResult result = caller().Read(
        [&](AdminClient& client) { return client.Commit(change, true); });
    if (result.code != CommitCode::kOk) {
      return ReportFailure(result);
    }
  }
  if (line_.wait && !line_.dry_run) {
    return WaitFor(current);
  }
  if (line_.json) {
    PrintJson({{"accepted", false},
               {"reason", "nothing to change"},
               {"version", current}});
  } else {
    streams_.out << "nothing to change\n";
  }
  return ExitCode::kOk;
}

ExitCode Commands::Submit(const NodeCaller::Request& request) {
  CommitResult result =
      line_.dry_run ? caller().Read(request) : caller().Change(request);
  result.change_id = change_id_;
  if (result.code != CommitCode::kOk) {
    return ReportFailure(result);
  }
  if (line_.json && !line_.wait) {
    PrintJson({{"accepted", !line_.dry_run},
               {"version", result.mark.number},
               {"hash", ToHex(result.mark.hash)},
               {"change_id", ToHex(change_id_)}});
  } else if (!line_.json) {
    streams_.out << (line_.dry_run ? "valid: it would become version "
                                   : "accepted as version ")
                 << result.mark.number << ", change id " << ToHex(change_id_)
                 << "\n";
  }
  return line_.wait && !line_.dry_run ? WaitFor(result.mark.number)
                                      : ExitCode::kOk;
}

}  // namespace cassiabend
