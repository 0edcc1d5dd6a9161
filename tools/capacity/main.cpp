#include <iostream>
#include <nlohmann/json.hpp>

#include "meter.h"

namespace lentilcross {

void Series::Add(double size, double value) {
  points_.push_back({size, value});
}

void Series::Print() const {
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  for (const auto& [size, value] : points_) {
    std::cout << nlohmann::json({{"measure", measure_},
                                 {"size", size},
                                 {"value", value},
                                 {"unit", unit_}})
              << "\n";
    sum_x += size;
    sum_y += value;
    sum_xx += size * size;
    sum_xy += size * value;
  }
  const auto count = static_cast<double>(points_.size());
  const double slope =
      (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
  std::cout << nlohmann::json({{"measure", measure_},
                               {"slope", slope},
                               {"intercept", (sum_y - slope * sum_x) / count},
                               {"unit", unit_}})
            << std::endl;
}

}  // namespace lentilcross

int main() {
  lentilcross::MeasureConfiguration();
  lentilcross::MeasureMembership();
  lentilcross::MeasureRate();
  lentilcross::MeasureAtMostOnce();
  lentilcross::MeasureMessages();
  lentilcross::MeasureKeys();
  return 0;
}
