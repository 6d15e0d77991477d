#include <medlarmoor/config/read_environment.hpp>
#include <medlarmoor/ctl/commands.hpp>
#include <medlarmoor/ctl/internal_findings.hpp>

namespace medlarmoor::ctl {

Outcome internal::reportFindings(const Findings &Found) {
  Outcome Out;
  Out.Code_ = ExitCode::Findings;
  Out.Text_ = Found.text();
  Out.Json_["result"] = "findings";
  Out.Json_["findings"] = nlohmann::ordered_json::array();
  for (const Finding &Each : Found.sorted())
    Out.Json_["findings"].push_back({{"file", Each.Place_.File_},
                                     {"line", Each.Place_.Line_},
                                     {"column", Each.Place_.Column_},
                                     {"message", Each.Message_},
                                     {"hint", Each.Hint_}});
  return Out;
}

Outcome check(const std::string &File) {
  Findings Found;
  const auto Read = config::readEnvironmentFile(File, Found);
  if (!Read)
    return internal::reportFindings(Found);
  std::size_t Upstreams = 0;
  for (const config::Service &Each : Read->Services_)
    Upstreams += Each.Upstreams_.size();
  Outcome Out;
  Out.Text_ = "ok: environment " + Read->Name_ + ", " +
              std::to_string(Read->Domains_.size()) + " domains, " +
              std::to_string(Read->Services_.size()) + " services, " +
              std::to_string(Upstreams) + " upstreams\n";
  Out.Json_ = {{"result", "ok"},
               {"environment", Read->Name_},
               {"domains", Read->Domains_.size()},
               {"services", Read->Services_.size()},
               {"upstreams", Upstreams}};
  return Out;
}

} // namespace medlarmoor::ctl
