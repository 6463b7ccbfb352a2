// Evidence on failures: closed forms, the martingale's mean, the stated error rate over many looks.
#include <gtest/gtest.h>

#include <cmath>
#include <random>

#include "../../src/evidence/failures.hpp"

namespace deckcart::test {
namespace {

using namespace evidence;

double choose(int n, int k) {
    double c = 1;
    for (int i = 0; i < k; ++i) c = c * (n - i) / (i + 1);
    return c;
}

TEST(Evidence, MeanOfTheEValueIsOneIfBothFailAlike) {
    for (const auto &[n, m, failures] :
         std::vector<std::tuple<int, int, int>>{{3, 5, 2}, {10, 40, 7}, {1, 1, 1}}) {
        double mean = 0;
        for (int x = std::max(0, failures - m); x <= std::min(n, failures); ++x) {
            FailureEvidence e;
            e.take({{std::uint64_t(n), std::uint64_t(x)}, {std::uint64_t(m), std::uint64_t(failures - x)}});
            mean += choose(n, x) * choose(m, failures - x) / choose(n + m, failures) * e.worse();
        }
        EXPECT_NEAR(mean, 1, 1e-9);
    }
}

TEST(Evidence, KnownValue) {
    FailureEvidence e;
    e.take({{1, 1}, {1, 0}});  // one failure of two reqs: t / ((1 + t) / 2)
    double want = 0;
    for (const double t : {1.2, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0}) want += 2 * t / (1 + t) / 7;
    EXPECT_NEAR(e.worse(), want, 1e-12);
}

TEST(Evidence, SaysNothingWhereNothingCanBeTold) {
    FailureEvidence e;
    e.take({});
    e.take({{10, 0}, {10, 0}});
    e.take({{10, 10}, {10, 10}});
    e.take({{0, 0}, {10, 4}});
    EXPECT_DOUBLE_EQ(e.worse(), 1);
    EXPECT_THROW(e.take({{1, 2}, {1, 0}}), std::invalid_argument);
}

TEST(Evidence, GoodBuildsAreCalledWorseNoMoreOftenThanStated) {
    // 400 good releases, 200 looks each, a common failure rate that changes from block to block.
    std::mt19937_64 chance(1);
    const auto part = [&] { return std::generate_canonical<double, 53>(chance); };
    int called = 0, found = 0;
    for (int release = 0; release < 400; ++release) {
        FailureEvidence good, bad;
        bool calls = false, finds = false;
        for (int look = 0; look < 200; ++look) {
            const double rate = 0.2 * part() * part();
            Block same{{10, 0}, {40, 0}}, worse{{10, 0}, {40, 0}};
            for (int k = 0; k < 10; ++k)
                same.trial.failures += part() < rate, worse.trial.failures += part() < 3 * rate;
            for (int k = 0; k < 40; ++k)
                same.earlier.failures += part() < rate, worse.earlier.failures += part() < rate;
            good.take(same), bad.take(worse);
            calls |= good.worse() >= 20, finds |= bad.worse() >= 20;
        }
        called += calls, found += finds;
    }
    EXPECT_LE(called, 20) << "5 % of 400";
    EXPECT_GE(found, 396) << "three times the failures in 2,000 reqs";
}

}  // namespace
}  // namespace deckcart::test
