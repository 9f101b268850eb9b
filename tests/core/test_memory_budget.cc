#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <thread>
#include <utility>
#include <vector>

#include "core/memory_account.h"
#include "core/memory_budget.h"

namespace damasktack {
namespace {

using Source = MemoryBudget::Source;

constexpr std::size_t kLimit = 16U << 20U;
constexpr std::size_t kMebibyte = 1U << 20U;

TEST_CASE("an account gives back what it holds") {
  MemoryBudget budget(kLimit);
  {
    MemoryAccount account(&budget, Source::kRequest);
    REQUIRE(account.Resize(1000));
    CHECK(budget.used() == 1000);
    CHECK(account.GrowTo(500));
    CHECK(budget.used() == 1000);
    CHECK(account.Resize(500));
    CHECK(budget.used() == 500);
    const MemoryAccount moved = std::move(account);
    CHECK(budget.used() == 500);
  }
  CHECK(budget.used() == 0);
  CHECK(budget.peak() == 1000);
}

TEST_CASE("an account without a budget takes any size") {
  MemoryAccount account;
  CHECK(account.Resize(kLimit * 100));
  CHECK(account.MayEverFit(kLimit * 100));
}

TEST_CASE("large requests leave room to answers, and both to small messages") {
  MemoryBudget budget(kLimit);
  MemoryAccount large(&budget, Source::kRequest);
  CHECK(!large.Resize(kLimit));
  CHECK(!large.MayEverFit(kLimit));
  CHECK(large.bytes() == 0);
  REQUIRE(large.Resize(kLimit / 4 * 3));
  MemoryAccount other(&budget, Source::kRequest);
  CHECK(!other.Resize(2 * kMebibyte));
  MemoryAccount answer(&budget, Source::kAnswer);
  CHECK(answer.Resize(kLimit / 8));
  CHECK(!other.Resize(kMebibyte / 2));
  CHECK(other.Resize(1000));
  CHECK(budget.refusals() == 3);
}

// Guards against many bodies of moderate size that keep ordinary requests out.
TEST_CASE("requests of any size leave room to those of a few bytes") {
  for (const std::size_t bytes : {9000U, 60'000U, 1'000'000U, 3'000'000U}) {
    CAPTURE(bytes);
    MemoryBudget budget(kLimit);
    std::vector<MemoryAccount> crowd;
    bool has_room = true;
    while (has_room) {
      crowd.emplace_back(&budget, Source::kRequest);
      has_room = crowd.back().Resize(bytes);
    }
    CHECK(budget.used() <= kLimit / 8 * 7);
    MemoryAccount request(&budget, Source::kRequest);
    MemoryAccount answer(&budget, Source::kAnswer);
    CHECK(request.Resize(8000));
    CHECK(answer.Resize(60'000));
  }
}

// Guards against memory that is lost from the budget, or held beyond it, on any
// order of growth, refusal, move and end of messages.
TEST_CASE("any order of events stays within the limit and ends at zero") {
  CHECK(rc::check([] {
    MemoryBudget budget(kLimit);
    std::size_t most = 0;
    {
      std::vector<MemoryAccount> accounts;
      const auto events =
          *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
              rc::gen::pair(rc::gen::inRange(0U, 5U),
                            rc::gen::inRange(0U, 20U * 1024 * 1024)));
      for (const auto& [kind, bytes] : events) {
        if (kind == 0 || accounts.empty()) {
          accounts.emplace_back(
              &budget, bytes % 2 == 0 ? Source::kRequest : Source::kAnswer);
        }
        MemoryAccount& account = accounts[bytes % accounts.size()];
        if (kind == 1) {
          account.Release();
        } else if (kind == 2) {
          accounts.pop_back();
        } else if (kind == 3) {
          MemoryAccount moved = std::move(account);
          account = std::move(moved);
        } else {
          const std::size_t before = account.bytes();
          const bool is_resized = account.Resize(bytes);
          RC_ASSERT(account.bytes() == (is_resized ? bytes : before));
          RC_ASSERT(is_resized || bytes > before);
        }
        std::size_t held = 0;
        for (const MemoryAccount& it : accounts) {
          held += it.bytes();
        }
        RC_ASSERT(budget.used() == held);
        RC_ASSERT(held <= kLimit);
        most = std::max(most, held);
      }
      RC_ASSERT(budget.peak() == most);
    }
    RC_ASSERT(budget.used() == 0U);
  }));
}

// Guards against two threads that both take the last room.
TEST_CASE("threads together stay within the limit") {
  MemoryBudget budget(kLimit);
  std::vector<std::thread> threads;
  for (int n = 0; n < 4; ++n) {
    threads.emplace_back([&] {
      for (int round = 0; round < 2000; ++round) {
        MemoryAccount account(&budget, Source::kRequest);
        account.Resize(kLimit / 2);
        account.Resize(kLimit / 3);
      }
    });
  }
  for (std::thread& it : threads) {
    it.join();
  }
  CHECK(budget.used() == 0);
  CHECK(budget.peak() <= kLimit);
}

}  // namespace
}  // namespace damasktack
