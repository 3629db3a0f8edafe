// Reads settings from a JSON document and checks their types and ranges.
#pragma once

#include "base/Address.h"
#include "base/Result.h"

#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace tray {

/// Reads fields of a settings document and keeps the first error, which names the field and its
/// expected value. The kind of the errors is InvalidSettings.
class JsonSettingsReader
{
public:
    /// Parses the document. If it is not a JSON object, that is the first error, and all fields
    /// count as missing.
    explicit JsonSettingsReader(std::string_view text);

    const boost::json::value &document() const { return this->content; }
    const std::optional<Error> &firstError() const { return this->failure; }
    /// Records that a field does not have its expected value.
    void setInvalid(const std::string &name, const std::string &expected);

    /// Returns a string that must be given and not be empty.
    std::string readString(const std::string &name);
    /// Returns an address in a section of the document, which is null if it is missing. The path is
    /// put before the field's name in the error.
    std::optional<Address> readAddress(const boost::json::value *section, const std::string &path,
                                       const std::string &name, bool required);
    /// Reads a number of a section that must not be negative. The target keeps its default value if
    /// the field is missing.
    void readNumber(const std::string &section, const std::string &name, double &target);
    /// Returns the first and the last port of a range; both must be given.
    std::pair<uint16_t, uint16_t> readPortRange(const std::string &name);

private:
    void setError(Error error);

    boost::json::value content;
    std::optional<Error> failure;
};

} // namespace tray
