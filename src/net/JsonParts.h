// Parses JSON lists to which several writers contribute.
#pragma once

#include "base/Result.h"

#include <boost/json/value.hpp>
#include <string_view>

namespace tray {

/// Parses a JSON document. Parts that the parser rejects, such as a number out of range or an entry
/// that is nested too deeply, become null, and the rest is kept. Looks for them in the five outer
/// levels: a list, its entries, their sections and fields. Fails with BadRequest if the brackets or
/// quotes of the document do not match.
Result<boost::json::value> parseJsonParts(std::string_view text);

} // namespace tray
