#include <chicorywick/cluster/config_diff.h>

#include <google/protobuf/descriptor.h>
#include <google/protobuf/util/message_differencer.h>

#include <map>

namespace chicorywick::cluster {

namespace {

using Fields = std::map<std::string, std::string>;
using google::protobuf::FieldDescriptor;

// Visits the uint32 fields, which excludes the name and version of an item. The caller prints
// these.
void flatten(const google::protobuf::Message &message, const std::string &prefix, Fields &fields)
{
    const auto *descriptor = message.GetDescriptor();
    const auto *reflection = message.GetReflection();
    for (int i = 0; i < descriptor->field_count(); ++i) {
        const FieldDescriptor *field = descriptor->field(i);
        const std::string name = prefix + field->name();
        if (field->cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
            if (reflection->HasField(message, field))
                flatten(reflection->GetMessage(message, field), name + ".", fields);
        } else if (field->cpp_type() == FieldDescriptor::CPPTYPE_UINT32) {
            fields[name] = std::to_string(reflection->GetUInt32(message, field));
        }
    }
}

Fields fieldsOf(const v1::ConfigItem &item)
{
    Fields fields;
    if (!item.deleted())
        flatten(item, "", fields);
    return fields;
}

std::string valueIn(const Fields &fields, const std::string &name)
{
    const auto found = fields.find(name);
    return found == fields.end() ? "none" : found->second;
}

} // namespace

bool hasSameValue(const v1::ConfigItem &left, const v1::ConfigItem &right)
{
    v1::ConfigItem a = left;
    v1::ConfigItem b = right;
    a.clear_version();
    b.clear_version();
    return google::protobuf::util::MessageDifferencer::Equals(a, b);
}

std::string describeItemDifference(const v1::ConfigItem &before, const v1::ConfigItem &after)
{
    const Fields old = fieldsOf(before);
    const Fields updated = fieldsOf(after);
    Fields all = old;
    all.insert(updated.begin(), updated.end());
    std::string text;
    for (const auto &[name, unused] : all) {
        const std::string from = valueIn(old, name);
        const std::string to = valueIn(updated, name);
        if (from == to)
            continue;
        text += text.empty() ? "" : "; ";
        text += after.name();
        text += ": ";
        text += name;
        text += ' ';
        text += from;
        text += " -> ";
        text += to;
    }
    return text;
}

std::string describeChange(const v1::ConfigChange &change)
{
    std::string text = "version " + std::to_string(change.version()) + " by " + change.author();
    const int items = std::min(change.before_size(), change.after_size());
    for (int i = 0; i < items; ++i) {
        const std::string difference = describeItemDifference(change.before(i), change.after(i));
        text += (i == 0 ? ": " : "; ")
                + (difference.empty() ? change.after(i).name() + ": same value" : difference);
    }
    return text;
}

} // namespace chicorywick::cluster
