// Guards against wrong quantiles and Prometheus bucket counts.
#define BOOST_TEST_MODULE latency_histogram
#include <boost/test/unit_test.hpp>

#include "caraway/base/latency_histogram.h"

using namespace caraway;

BOOST_AUTO_TEST_CASE(quantiles_are_within_one_bin)
{
  LatencyHistogram histogram;
  for (int i = 1; i <= 1000; ++i) {
    histogram.Record(Millis(i));
  }
  BOOST_TEST(histogram.Count() == 1000u);
  BOOST_TEST(histogram.Quantile(0.5).Seconds() >= 0.5);
  BOOST_TEST(histogram.Quantile(0.5).Seconds() <= 0.5 * 1.06);
  BOOST_TEST(histogram.Quantile(0.99).Seconds() >= 0.99);
  BOOST_TEST(histogram.Quantile(0.99).Seconds() <= 0.99 * 1.06);
}

BOOST_AUTO_TEST_CASE(prometheus_buckets_are_cumulative)
{
  LatencyHistogram histogram;
  histogram.Record(Millis(2));
  histogram.Record(Seconds(2));
  const std::string text = histogram.PrometheusText("t", "kind=\"a\"");
  BOOST_TEST(text.find("t_bucket{kind=\"a\",le=\"0.005\"} 1\n") !=
             std::string::npos);
  BOOST_TEST(text.find("t_bucket{kind=\"a\",le=\"2.5\"} 2\n") !=
             std::string::npos);
  BOOST_TEST(text.find("t_count{kind=\"a\"} 2\n") != std::string::npos);
}
