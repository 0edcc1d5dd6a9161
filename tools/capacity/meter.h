#pragma once

#include <malloc.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace lentilcross {

/// Heap bytes in use by this process.
inline std::size_t HeapBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/// Mean nanoseconds of `work()`, called `repeats` times.
template <typename Work>
double MeanNanoseconds(int repeats, Work work) {
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < repeats; ++i) work();
  const std::chrono::duration<double, std::nano> spent =
      std::chrono::steady_clock::now() - start;
  return spent.count() / repeats;
}

/// Points of one measure over size, with the least-squares line through them.
class Series {
 public:
  Series(std::string_view measure, std::string_view unit)
      : measure_(measure), unit_(unit) {}

  void Add(double size, double value);
  /// Prints one JSON object for each point and one for the line.
  void Print() const;

 private:
  struct Point {
    double size;
    double value;
  };
  std::string measure_;
  std::string unit_;
  std::vector<Point> points_;
};

void MeasureConfiguration();
void MeasureMembership();
void MeasureRate();
void MeasureAtMostOnce();
void MeasureMessages();
void MeasureKeys();

}  // namespace lentilcross
