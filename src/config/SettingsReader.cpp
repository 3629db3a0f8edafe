// Sets the fields by protobuf reflection; CLI11 parses the INI syntax.
#include "config/SettingsReader.h"

#include "base/Address.h"

#include "options.pb.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <sstream>

namespace tray {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

const proto::SettingRule &ruleOf(const FieldDescriptor *field)
{
    return field->options().GetExtension(proto::rule);
}

bool isName(const std::string &text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isalnum(c) || c == '-' || c == '_' || c == '.';
    });
}

std::vector<std::string> splitList(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, separator);) {
        if (!part.empty())
            parts.push_back(part);
    }
    return parts;
}

/// Formats a number, without a decimal point if it is an integer.
std::string formatNumber(double number)
{
    return number == std::floor(number) ? fmt::format("{:.0f}", number) : fmt::format("{}", number);
}

std::string acceptedRange(const FieldDescriptor *field)
{
    const auto &rule = ruleOf(field);
    if (!rule.choices().empty())
        return "one of " + rule.choices();
    if (field->cpp_type() == FieldDescriptor::CPPTYPE_BOOL)
        return "true or false";
    if (field->cpp_type() != FieldDescriptor::CPPTYPE_STRING)
        return fmt::format("{} to {}{}{}", formatNumber(rule.min()), formatNumber(rule.max()),
                           rule.unit().empty() ? "" : " ", rule.unit());
    switch (rule.format()) {
    case proto::SETTING_FORMAT_ADDRESS:
        return "IP number and port, such as 127.0.0.1:8080";
    case proto::SETTING_FORMAT_ADDRESS_LIST:
        return "IP numbers and ports, separated by commas";
    case proto::SETTING_FORMAT_NAME:
        return "letters, digits, '-', '_' and '.'";
    default:
        return "text";
    }
}

bool isAcceptedText(const proto::SettingRule &rule, const std::string &text)
{
    if (!rule.choices().empty()) {
        const auto choices = splitList(rule.choices(), '|');
        return std::find(choices.begin(), choices.end(), text) != choices.end();
    }
    switch (rule.format()) {
    case proto::SETTING_FORMAT_ADDRESS:
        return isOk(parseAddress(text));
    case proto::SETTING_FORMAT_ADDRESS_LIST: {
        const auto parts = splitList(text, ',');
        return std::all_of(parts.begin(), parts.end(),
                           [](const auto &part) { return isOk(parseAddress(part)); });
    }
    case proto::SETTING_FORMAT_NAME:
        return isName(text);
    default:
        return true;
    }
}

/// Parses a number; returns nothing if the text is not a number or the number is out of range.
std::optional<double> parseNumber(const proto::SettingRule &rule, const std::string &text)
{
    double number = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (status != std::errc() || end != text.data() + text.size() || std::isnan(number))
        return std::nullopt;
    if (number < rule.min() || number > rule.max())
        return std::nullopt;
    return number;
}

/// Sets a field from text. Returns false if the text is not an accepted value.
bool setField(Message &section, const FieldDescriptor *field, const std::string &text)
{
    const auto &rule = ruleOf(field);
    const auto *reflection = section.GetReflection();
    if (field->cpp_type() == FieldDescriptor::CPPTYPE_STRING) {
        if (!isAcceptedText(rule, text))
            return false;
        reflection->SetString(&section, field, text);
        return true;
    }
    if (field->cpp_type() == FieldDescriptor::CPPTYPE_BOOL) {
        if (text != "true" && text != "false")
            return false;
        reflection->SetBool(&section, field, text == "true");
        return true;
    }
    const auto number = parseNumber(rule, text);
    if (!number)
        return false;
    const bool isInteger = *number == std::floor(*number);
    switch (field->cpp_type()) {
    case FieldDescriptor::CPPTYPE_UINT32:
        if (isInteger)
            reflection->SetUInt32(&section, field, static_cast<uint32_t>(*number));
        return isInteger;
    case FieldDescriptor::CPPTYPE_UINT64:
        if (isInteger)
            reflection->SetUInt64(&section, field, static_cast<uint64_t>(*number));
        return isInteger;
    case FieldDescriptor::CPPTYPE_DOUBLE:
        reflection->SetDouble(&section, field, *number);
        return true;
    default:
        return false;
    }
}

Error invalidSettings(const std::string &where, const std::string &what)
{
    return Error{ErrorKind::InvalidSettings, where + ": " + what};
}

std::string trim(const std::string &text)
{
    const auto first = text.find_first_not_of(" \t\r");
    if (first == std::string::npos)
        return "";
    return text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
}

/// Returns the line number of a key in INI text, for error messages; the line of its section if the
/// key is not found.
int findLine(const std::string &text, const std::string &section, const std::string &key)
{
    std::istringstream stream(text);
    std::string current;
    int sectionLine = 1;
    int number = 0;
    for (std::string line; std::getline(stream, line);) {
        ++number;
        line = trim(line);
        if (line.size() > 1 && line.front() == '[') {
            current = trim(line.substr(1, line.find(']') - 1));
            if (current == section)
                sectionLine = number;
        } else if (current == section && trim(line.substr(0, line.find('='))) == key) {
            return number;
        }
    }
    return sectionLine;
}

Result<Unit> setByName(Message &settings, const std::string &section, const std::string &key,
                       const std::string &text, const std::string &where)
{
    const auto *sectionField = settings.GetDescriptor()->FindFieldByName(section);
    if (sectionField == nullptr || sectionField->message_type() == nullptr) {
        std::string acceptedNames;
        for (int i = 0; i < settings.GetDescriptor()->field_count(); ++i)
            acceptedNames +=
                (acceptedNames.empty() ? "" : ", ") + settings.GetDescriptor()->field(i)->name();
        return invalidSettings(
            where, fmt::format("unknown section '{}'; accepted: {}", section, acceptedNames));
    }
    const auto *field = sectionField->message_type()->FindFieldByName(key);
    if (field == nullptr) {
        std::string acceptedNames;
        for (int i = 0; i < sectionField->message_type()->field_count(); ++i)
            acceptedNames += (acceptedNames.empty() ? "" : ", ") +
                             sectionField->message_type()->field(i)->name();
        return invalidSettings(where, fmt::format("unknown key '{}' in section '{}'; accepted: {}",
                                                  key, section, acceptedNames));
    }
    auto *sectionMessage = settings.GetReflection()->MutableMessage(&settings, sectionField);
    if (!setField(*sectionMessage, field, text))
        return invalidSettings(where, fmt::format("key '{}.{}' has the value '{}'; accepted: {}",
                                                  section, key, text, acceptedRange(field)));
    return Unit{};
}

} // namespace

void applyDefaults(Message &settings)
{
    const auto *descriptor = settings.GetDescriptor();
    for (int i = 0; i < descriptor->field_count(); ++i) {
        const auto *sectionField = descriptor->field(i);
        auto *section = settings.GetReflection()->MutableMessage(&settings, sectionField);
        for (int k = 0; k < section->GetDescriptor()->field_count(); ++k) {
            const auto *field = section->GetDescriptor()->field(k);
            const auto &text = ruleOf(field).default_value();
            if (!text.empty()) {
                [[maybe_unused]] const bool accepted = setField(*section, field, text);
                assert(accepted && "a default of the schema is not an accepted value");
            }
        }
    }
}

Result<Unit> readIni(const std::string &text, const std::string &fileName, Message &settings,
                     const std::vector<std::string> &ignoredFamilies)
{
    std::vector<CLI::ConfigItem> items;
    try {
        std::istringstream stream(text);
        items = CLI::ConfigINI().from_config(stream);
    } catch (const CLI::Error &failure) {
        return invalidSettings(fileName, failure.what());
    }
    for (const auto &item : items) {
        // CLI11 reports the start and the end of a section as items with these names.
        if (item.name == "++" || item.name == "--")
            continue;
        std::string section;
        for (const auto &parent : item.parents)
            section += (section.empty() ? "" : ".") + parent;
        const std::string family = section.substr(0, section.find('.'));
        if (std::find(ignoredFamilies.begin(), ignoredFamilies.end(), family) !=
            ignoredFamilies.end())
            continue;
        std::string commaSeparated;
        for (const auto &input : item.inputs)
            commaSeparated += (commaSeparated.empty() ? "" : ",") + input;
        const std::string where =
            fmt::format("{}:{}", fileName, findLine(text, section, item.name));
        if (auto result = setByName(settings, section, item.name, commaSeparated, where);
            !isOk(result))
            return result;
    }
    return Unit{};
}

Result<Unit> applyOverride(const std::string &assignment, Message &settings)
{
    const auto equals = assignment.find('=');
    const auto dot = assignment.find('.');
    if (equals == std::string::npos || dot == std::string::npos || dot > equals)
        return invalidSettings("--set " + assignment, "expected section.key=value");
    return setByName(settings, assignment.substr(0, dot),
                     assignment.substr(dot + 1, equals - dot - 1), assignment.substr(equals + 1),
                     "--set " + assignment);
}

Result<Unit> checkRequired(const Message &settings, const std::string &fileName)
{
    const auto *descriptor = settings.GetDescriptor();
    for (int i = 0; i < descriptor->field_count(); ++i) {
        const auto *sectionField = descriptor->field(i);
        const auto &section = settings.GetReflection()->GetMessage(settings, sectionField);
        for (int k = 0; k < section.GetDescriptor()->field_count(); ++k) {
            const auto *field = section.GetDescriptor()->field(k);
            if (ruleOf(field).required() &&
                section.GetReflection()->GetString(section, field).empty())
                return invalidSettings(fileName, fmt::format("missing key '{}.{}'; accepted: {}",
                                                             sectionField->name(), field->name(),
                                                             acceptedRange(field)));
        }
    }
    return Unit{};
}

std::string settingsTable(const Message &settings)
{
    std::string text = "| key | default | accepted | meaning |\n| --- | --- | --- | --- |\n";
    const auto *descriptor = settings.GetDescriptor();
    for (int i = 0; i < descriptor->field_count(); ++i) {
        const auto *section = descriptor->field(i)->message_type();
        for (int k = 0; k < section->field_count(); ++k) {
            const auto *field = section->field(k);
            const auto &rule = ruleOf(field);
            std::string accepted = acceptedRange(field);
            for (size_t at = 0; (at = accepted.find('|', at)) != std::string::npos; at += 2)
                accepted.insert(at, "\\");
            text += fmt::format("| `{}.{}` | {} | {} | {} |\n", descriptor->field(i)->name(),
                                field->name(),
                                rule.required() ? "required" : "`" + rule.default_value() + "`",
                                accepted, rule.help());
        }
    }
    return text;
}

} // namespace tray
