#include <medlarmoor/ctl/commands.hpp>
#include <medlarmoor/ctl/internal_unreachable.hpp>
#include <medlarmoor/net/http_client.hpp>

namespace medlarmoor::ctl {

using nlohmann::ordered_json;

namespace {

constexpr Millis CallTimeout{2000};

/// "name: value" lines for all members, nested ones indented.
void print(std::string &Out, const ordered_json &Value,
           const std::string &Indent) {
  for (const auto &[Key, Each] : Value.items()) {
    Out += Indent + Key + ":";
    if (Each.is_structured() && !Each.empty()) {
      Out += "\n";
      print(Out, Each, Indent + "  ");
    } else {
      Out += " " + (Each.is_string() ? Each.get<std::string>() : Each.dump()) +
             "\n";
    }
  }
}

} // namespace

Outcome explain(const Options &Asked) {
  net::HttpRequest Request;
  Request.Target_ = Asked.Flow_.empty() ? "/explain?key=" + Asked.Key_
                                        : "/explain?flow=" + Asked.Flow_;
  std::string Reason;
  const auto Answer =
      net::httpCall(*Asked.Entry_, std::move(Request), CallTimeout, Reason);
  const std::string Where = Asked.Entry_->text();
  if (!Answer)
    return internal::unreachable(Where, Reason);
  const ordered_json Read = ordered_json::parse(Answer->Body_, nullptr, false);
  if (Answer->Status_ != 200 || !Read.is_structured())
    return internal::unreachable(Where, "answer " +
                                            std::to_string(Answer->Status_) +
                                            " " + Answer->Body_);
  Outcome Out;
  Out.Json_ = Read;
  print(Out.Text_, Read, "");
  return Out;
}

} // namespace medlarmoor::ctl
