// Minimum of samples that rises slowly, for quantities that are disturbed in one direction only.
#pragma once

#include <algorithm>
#include <optional>

namespace tray {

/// Follows the lowest samples. A higher sample raises the value by at most a fixed factor, so that
/// it follows a change but not single disturbances.
class RisingMinimum
{
public:
    explicit RisingMinimum(double growth) : growth(growth) {}

    void add(double sample)
    {
        this->minimum = this->minimum ? std::min(sample, *this->minimum * this->growth) : sample;
    }
    double valueOr(double initial) const { return this->minimum.value_or(initial); }
    void reset() { this->minimum.reset(); }

private:
    double growth;
    std::optional<double> minimum;
};

} // namespace tray
