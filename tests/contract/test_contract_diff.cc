#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "contract/contract_diff.h"

namespace damasktack {
namespace {

Contract MakeContract(const std::string& customer, std::int64_t share) {
  Contract contract;
  contract.customer = CustomerId(customer);
  contract.share = share;
  return contract;
}

RequestRule MakeRule(const std::string& service) {
  RequestRule rule;
  rule.service = ServiceId(service);
  return rule;
}

TEST_CASE("added, removed, changed and displaced customers are reported") {
  Contract changed = MakeContract("c", 2);
  changed.limits.calls_per_second = 5;
  const auto changes = DiffContracts(
      {MakeContract("a", 1), MakeContract("c", 2), MakeContract("d", 1)},
      {MakeContract("b", 4), changed, MakeContract("d", 1)});
  REQUIRE(changes.size() == 4);
  CHECK(changes[0].kind == ContractChangeKind::kRemoved);
  CHECK(changes[0].share_before == doctest::Approx(0.25));
  CHECK(changes[0].share_after == 0);
  CHECK(changes[1].kind == ContractChangeKind::kAdded);
  CHECK(changes[1].share_after == doctest::Approx(4.0 / 7));
  CHECK(changes[2].kind == ContractChangeKind::kChanged);
  CHECK(changes[2].fields ==
        std::vector<FieldChange>{{"limits.calls_per_second", "no bound", "5"}});
  CHECK(changes[3].kind == ContractChangeKind::kShareChanged);
  CHECK(changes[3].fields.empty());
}

TEST_CASE("changed rules and a changed order of rules are reported") {
  Contract before = MakeContract("a", 1);
  before.requests = {MakeRule("s"), MakeRule("t"), MakeRule("u")};
  Contract after = before;
  std::swap(after.requests[0], after.requests[1]);
  const auto swapped = DiffContracts({before}, {after});
  REQUIRE(swapped.size() == 1);
  CHECK(swapped[0].fields.front().field == "order of rules");
  after.requests = {MakeRule("s"), MakeRule("u"), MakeRule("v")};
  const auto changes = DiffContracts({before}, {after});
  REQUIRE(changes.size() == 1);
  REQUIRE(changes[0].fields.size() == 2);
  CHECK(changes[0].fields[0].before.starts_with("t/"));
  CHECK(changes[0].fields[0].after.empty());
  CHECK(changes[0].fields[1].after.starts_with("v/"));
}

TEST_CASE("changed keys are counted and never shown") {
  Contract before = MakeContract("a", 1);
  before.key_sha256 = {"1", "2"};
  Contract after = before;
  after.key_sha256 = {"2", "3", "4"};
  const auto changes = DiffContracts({before}, {after});
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].fields ==
        std::vector<FieldChange>{{"keys removed", "0", "1"},
                                 {"keys added", "0", "2"}});
}

TEST_CASE(
    "share changes add up to zero and are symmetric in both contract lists") {
  CHECK(rc::check([](const std::vector<std::uint8_t>& old_shares,
                     const std::vector<std::uint8_t>& new_shares) {
    const auto contracts = [](const std::vector<std::uint8_t>& shares) {
      std::vector<Contract> list;
      for (std::size_t n = 0; n < shares.size(); ++n) {
        list.push_back(MakeContract("c" + std::to_string(n), shares[n] + 1));
      }
      return list;
    };
    const auto before = contracts(old_shares);
    const auto after = contracts(new_shares);
    const auto changes = DiffContracts(before, after);
    const auto mirrored = DiffContracts(after, before);
    RC_ASSERT(DiffContracts(before, before).empty());
    RC_ASSERT(changes.size() == mirrored.size());
    double gained = 0;
    for (std::size_t n = 0; n < changes.size(); ++n) {
      gained += changes[n].share_after - changes[n].share_before;
      RC_ASSERT(changes[n].share_after == mirrored[n].share_before);
    }
    // What one customer gains the others lose, unless one of the lists is
    // empty.
    const double expected = static_cast<double>(!after.empty()) -
                            static_cast<double>(!before.empty());
    RC_ASSERT(std::abs(gained - expected) < 1e-9);
  }));
}

}  // namespace
}  // namespace damasktack
