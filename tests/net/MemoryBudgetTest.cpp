// Tests of the bound on the memory of all bodies.
#include "net/MemoryBudget.h"

#include <doctest/doctest.h>
#include <memory>
#include <vector>

using namespace tray;

TEST_CASE("Bodies share one budget of memory")
{
    constexpr size_t Small = MemoryBudget::SmallBodyBytes;
    MemoryBudget budget(20 * Small);
    MemoryBudget::Share large(budget);
    SUBCASE("a large one may use half of it, and no more")
    {
        CHECK(large.tryGrow(10 * Small));
        CHECK_FALSE(large.tryGrow(1));
        CHECK(budget.usedBytes() == 10 * Small);
    }
    SUBCASE("small ones go on when large ones have used up their half")
    {
        REQUIRE(large.tryGrow(10 * Small));
        MemoryBudget::Share small(budget);
        CHECK(small.tryGrow(Small));
        CHECK_FALSE(small.tryGrow(1));
    }
    SUBCASE("a body that ends returns its part")
    {
        REQUIRE(large.tryGrow(10 * Small));
        large.release();
        CHECK(budget.usedBytes() == 0);
        CHECK(large.tryGrow(10 * Small));
    }
    SUBCASE("any number of them stays within the limit")
    {
        std::vector<std::unique_ptr<MemoryBudget::Share>> shares;
        for (int i = 0; i < 50; ++i) {
            shares.push_back(std::make_unique<MemoryBudget::Share>(budget));
            while (shares.back()->tryGrow(1000)) {
            }
        }
        CHECK(budget.usedBytes() <= 20 * Small);
        CHECK(budget.usedBytes() > 19 * Small);
    }
    SUBCASE("a body may outlive the budget")
    {
        auto ended = std::make_unique<MemoryBudget>(20 * Small);
        MemoryBudget::Share last(*ended);
        REQUIRE(last.tryGrow(Small));
        ended.reset();
        CHECK(last.tryGrow(Small));
        last.release();
    }
    SUBCASE("without a budget there is no bound")
    {
        MemoryBudget::Share unbounded;
        CHECK(unbounded.tryGrow(1u << 30));
    }
}
