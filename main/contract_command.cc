#include "main/contract_command.h"

#include <array>
#include <cstdio>
#include <string>

#include "admin/admin_json.h"
#include "contract/contract_check.h"
#include "contract/contract_diff.h"
#include "main/file_text.h"
#include "main/text_table.h"

namespace damasktack {

namespace {

namespace po = boost::program_options;

constexpr auto kServicesOption = "services";
// A file that is not published has no revision.
constexpr Revision kNoRevision = 0;

leaf::result<Document> ReadDocument(DocumentName name,
                                    const std::string& path) {
  BOOST_LEAF_AUTO(text, ReadWholeFile(path,
                                      "specify an existing file with a "
                                      "document"));
  return Document{name, kNoRevision, std::move(text)};
}

leaf::result<ContractList> ReadContracts(const std::string& path) {
  BOOST_LEAF_AUTO(document, ReadDocument(DocumentName::kContracts, path));
  return ParseContracts(document);
}

leaf::result<ServiceList> ReadServices(const std::string& path) {
  BOOST_LEAF_AUTO(document, ReadDocument(DocumentName::kServices, path));
  return ParseServices(document);
}

// Returns which document a file holds, determined by its only member.
leaf::result<DocumentName> DetectDocumentName(const std::string& path) {
  BOOST_LEAF_AUTO(
      text, ReadWholeFile(path, "specify an existing file with a document"));
  BOOST_LEAF_AUTO(json, ParseJson(text, path));
  for (std::size_t n = 0; n < kDocumentCount; ++n) {
    const auto name = static_cast<DocumentName>(n);
    if (json.is_object() && json.contains(ToString(name))) {
      return name;
    }
  }
  return Fail(ErrorKind::kMissingKey, path, "no known document",
              "write an object with one member: contracts, services or hosts");
}

// Checks a file and returns the number of its entries.
leaf::result<std::size_t> CheckFile(const std::string& path,
                                    const CtlInvocation& invocation) {
  BOOST_LEAF_AUTO(kind, DetectDocumentName(path));
  BOOST_LEAF_AUTO(document, ReadDocument(kind, path));
  switch (kind) {
    case DocumentName::kServices: {
      BOOST_LEAF_AUTO(services, ParseServices(document));
      return services.services.size();
    }
    case DocumentName::kHosts: {
      BOOST_LEAF_AUTO(hosts, ParseHosts(document));
      return hosts.hosts.size();
    }
    case DocumentName::kContracts:
      break;
  }
  BOOST_LEAF_AUTO(contracts, ParseContracts(document));
  if (invocation.options.count(kServicesOption) > 0) {
    BOOST_LEAF_AUTO(
        services,
        ReadServices(invocation.options[kServicesOption].as<std::string>()));
    BOOST_LEAF_CHECK(CheckReferences(contracts, services));
  }
  return contracts.contracts.size();
}

// Checks one file and prints its error. Returns the result as JSON, so that the
// errors of all files are printed and not only the first.
Json CheckAndReport(const std::string& path, const CtlInvocation& invocation) {
  return Try(
      [&]() -> leaf::result<Json> {
        BOOST_LEAF_AUTO(entries, CheckFile(path, invocation));
        return Json{{"file", path}, {"sound", true}, {"entries", entries}};
      },
      [&](const Error& error) {
        invocation.err << path << ": " << error << "\n";
        return Json{
            {"file", path}, {"sound", false}, {"error", RenderError(error)}};
      });
}

void AddCheckOptions(po::options_description& options) {
  options.add_options()(
      kServicesOption, po::value<std::string>()->value_name("FILE"),
      "services document that must contain every service used by "
      "a contract");
}

leaf::result<CtlExit> RunCheck(const CtlInvocation& invocation) {
  Json results = Json::array();
  CtlExit code = CtlExit::kDone;
  for (const std::string& path : invocation.arguments) {
    const Json result = CheckAndReport(path, invocation);
    results.push_back(result);
    if (!result["sound"].get<bool>()) {
      code = CtlExit::kFault;
    } else if (!invocation.json) {
      invocation.out << path << ": sound, " << result["entries"]
                     << " entries\n";
    }
  }
  if (invocation.json) {
    invocation.out << Json{{"files", results}}.dump(2) << "\n";
  }
  return code;
}

std::string Percent(double part) {
  constexpr double kHundred = 100;
  std::array<char, 16> buf{};
  std::snprintf(buf.data(), buf.size(), "%.1f%%", part * kHundred);
  return buf.data();
}

Json ToJson(const ContractChange& change) {
  Json fields = Json::array();
  for (const FieldChange& it : change.fields) {
    fields.push_back(
        Json{{"field", it.field}, {"before", it.before}, {"after", it.after}});
  }
  return Json{{"customer", change.customer.text()},
              {"change", ToString(change.kind)},
              {"share_before", change.share_before},
              {"share_after", change.share_after},
              {"fields", fields}};
}

void PrintChanges(const std::vector<ContractChange>& changes,
                  std::ostream& out) {
  if (changes.empty()) {
    out << "no customer is affected\n";
    return;
  }
  TextTable table({"CUSTOMER", "CHANGE", "FIELD", "BEFORE", "AFTER"});
  for (const ContractChange& change : changes) {
    const std::string name = change.customer.text();
    const std::string kind(ToString(change.kind));
    table.AddRow({name, kind, "part of all shares",
                  Percent(change.share_before), Percent(change.share_after)});
    for (const FieldChange& it : change.fields) {
      table.AddRow({name, kind, it.field, it.before.empty() ? "-" : it.before,
                    it.after.empty() ? "-" : it.after});
    }
  }
  table.Print(out);
}

leaf::result<CtlExit> RunDiff(const CtlInvocation& invocation) {
  BOOST_LEAF_AUTO(before, ReadContracts(invocation.arguments[0]));
  BOOST_LEAF_AUTO(after, ReadContracts(invocation.arguments[1]));
  const std::vector<ContractChange> changes =
      DiffContracts(before.contracts, after.contracts);
  if (!invocation.json) {
    PrintChanges(changes, invocation.out);
    return CtlExit::kDone;
  }
  Json list = Json::array();
  for (const ContractChange& it : changes) {
    list.push_back(ToJson(it));
  }
  invocation.out << Json{{"changes", list}}.dump(2) << "\n";
  return CtlExit::kDone;
}

}  // namespace

constinit const CtlCommand kContractCheckCommand{
    .words = "contract check",
    .arguments = "FILE...",
    .summary =
        "validate contracts, services or hosts before publishing "
        "them",
    .description =
        "Validates each file as the daemons do; the member of the "
        "file determines which document it is. An error is printed "
        "with its location, what was found and the remedy. Exit "
        "code 1 means that a file is invalid.",
    .min_arguments = 1,
    .max_arguments = kUnlimitedArguments,
    .hosts = CtlHosts::kNone,
    .add_options = AddCheckOptions,
    .run = RunCheck};

constinit const CtlCommand kContractDiffCommand{
    .words = "contract diff",
    .arguments = "OLD NEW",
    .summary = "show what a change does to each customer",
    .description =
        "Prints each customer whose contract is added, removed or "
        "changed with the fields that differ, and each displaced "
        "customer, whose contract is unchanged but whose fraction "
        "of the sum of all shares is not.",
    .min_arguments = 2,
    .max_arguments = 2,
    .hosts = CtlHosts::kNone,
    .add_options = nullptr,
    .run = RunDiff};

}  // namespace damasktack
