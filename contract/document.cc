#include "contract/document.h"

#include <array>

#include "contract/contract_check.h"

namespace damasktack {

namespace {

constexpr std::array<std::string_view, kDocumentCount> kDocumentNames = {
    "contracts", "services", "hosts"};

leaf::result<Json> ParseBody(const Document& document) {
  if (document.body.size() > kMaxDocumentBytes) {
    return Fail(
        ErrorKind::kTooLarge, std::string(ToString(document.name)),
        std::to_string(document.body.size()) + " bytes",
        "publish at most " + std::to_string(kMaxDocumentBytes) + " bytes");
  }
  return ParseJson(document.body, ToString(document.name));
}

// Parses the list whose key is the document's name, calling `parse_one` for
// each item.
template <typename Item, typename ParseOne>
leaf::result<std::vector<Item>> ParseList(const Document& document,
                                          ParseOne parse_one) {
  BOOST_LEAF_AUTO(json, ParseBody(document));
  JsonReader reader(json, "");
  const std::string name(ToString(document.name));
  std::vector<Item> items;
  const Json* list = reader.Array(name);
  BOOST_LEAF_CHECK(reader.Finish());
  for (std::size_t n = 0; n < list->size(); ++n) {
    BOOST_LEAF_AUTO(
        item, parse_one((*list)[n], name + "[" + std::to_string(n) + "]"));
    items.push_back(std::move(item));
  }
  return items;
}

}  // namespace

std::string_view ToString(DocumentName name) {
  return kDocumentNames[static_cast<std::size_t>(name)];
}

leaf::result<ContractList> ParseContracts(const Document& document) {
  BOOST_LEAF_AUTO(contracts, ParseList<Contract>(document, ParseContract));
  BOOST_LEAF_CHECK(CheckContractList(contracts));
  return ContractList{document.revision, std::move(contracts)};
}

leaf::result<ServiceList> ParseServices(const Document& document) {
  BOOST_LEAF_AUTO(services, ParseList<ServiceSpec>(document, ParseService));
  BOOST_LEAF_CHECK(CheckServiceList(services));
  return ServiceList{document.revision, std::move(services)};
}

leaf::result<HostList> ParseHosts(const Document& document) {
  BOOST_LEAF_AUTO(hosts, ParseList<HostSpec>(document, ParseHost));
  BOOST_LEAF_CHECK(CheckHostList(hosts));
  return HostList{document.revision, std::move(hosts)};
}

}  // namespace damasktack
