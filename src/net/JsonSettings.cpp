// Typed and checked access to settings in a JSON document.
#include "net/JsonSettings.h"

#include "net/JsonFields.h"

namespace tray {

namespace json = boost::json;

JsonSettingsReader::JsonSettingsReader(std::string_view text)
{
    auto parsed = parseJson(text);
    if (!isOk(parsed))
        this->setError({ErrorKind::InvalidSettings, "settings: " + error(parsed).message});
    else if (!value(parsed).is_object())
        this->setInvalid("the file", "a JSON object");
    else
        this->content = value(std::move(parsed));
}

void JsonSettingsReader::setError(Error error)
{
    if (!this->failure)
        this->failure = std::move(error);
}

void JsonSettingsReader::setInvalid(const std::string &name, const std::string &expected)
{
    this->setError({ErrorKind::InvalidSettings, "settings: " + name + " must be " + expected});
}

std::string JsonSettingsReader::readString(const std::string &name)
{
    const auto found = stringField(this->content, name);
    if (!found || found->empty())
        this->setInvalid(name, "a string that is not empty");
    return found.value_or("");
}

std::optional<Address> JsonSettingsReader::readAddress(const json::value *section,
                                                       const std::string &path,
                                                       const std::string &name, bool required)
{
    const auto found = section == nullptr ? std::nullopt : stringField(*section, name);
    if (!found) {
        if (required || (section != nullptr && findField(*section, name) != nullptr))
            this->setInvalid(path + name, "an IP number and port");
        return std::nullopt;
    }
    const auto parsed = parseAddress(*found);
    if (!isOk(parsed)) {
        this->setInvalid(path + name, "an IP number and port");
        return std::nullopt;
    }
    return value(parsed);
}

void JsonSettingsReader::readNumber(const std::string &section, const std::string &name,
                                    double &target)
{
    const auto *fields = findField(this->content, section);
    if (fields == nullptr || findField(*fields, name) == nullptr)
        return;
    const auto found = numberField(*fields, name);
    if (!found || *found < 0)
        this->setInvalid(section + "." + name, "a number that is not negative");
    else
        target = *found;
}

std::pair<uint16_t, uint16_t> JsonSettingsReader::readPortRange(const std::string &name)
{
    const auto *ports = arrayField(this->content, name);
    const auto port = [&](size_t index) -> uint16_t {
        if (ports == nullptr || ports->size() != 2 || !(*ports)[index].is_int64())
            return 0;
        const auto number = (*ports)[index].get_int64();
        return number > 0 && number < 65536 ? static_cast<uint16_t>(number) : 0;
    };
    const std::pair range(port(0), port(1));
    if (range.first == 0 || range.second < range.first)
        this->setInvalid(name, "two ports in ascending order");
    return range;
}

} // namespace tray
