#include <medlarmoor/config/read_settings.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::config;

namespace {

const std::string Example = MEDLARMOOR_SOURCE_DIR "/examples/entry.toml";

} // namespace

TEST_CASE("the example settings state the default values") {
  Findings Errors;
  const std::optional<Settings> Parsed = readSettingsFile(Example, Errors);
  INFO(Errors.text());
  REQUIRE(Parsed);
  CHECK(Parsed->Name_ == EntryName("seeb-1"));
  CHECK(Parsed->Platform_.text() == "127.0.9.1:7400");
  CHECK(Parsed->Keys_.at(0).Secret_.size() == 16);
  CHECK(Parsed->Neighbours_.at(0).Address_.text() == "127.0.11.2");
  const Settings Defaults;
  CHECK(Parsed->Flow_.MaxFlows_ == Defaults.Flow_.MaxFlows_);
  CHECK(Parsed->Requests_.Horizon_ == Defaults.Requests_.Horizon_);
  CHECK(Parsed->Membership_.Lease_ == Defaults.Membership_.Lease_);
  CHECK(Parsed->Ports_.Config_ == Defaults.Ports_.Config_);
}

TEST_CASE("written settings parse back to the same settings") {
  Findings Errors;
  std::optional<Settings> Original = readSettingsFile(Example, Errors);
  REQUIRE(Original);
  Original->ListenersEnabled_ = false;
  Original->Ports_.Flow_ = 8100;
  Original->Membership_.HeartbeatPeriod_ = Millis(50);
  const std::string Text = writeSettings(*Original);
  const std::optional<Settings> Parsed = readSettings(Text, "b", Errors);
  INFO(Errors.text());
  REQUIRE(Parsed);
  CHECK(writeSettings(*Parsed) == Text);
  CHECK_FALSE(Parsed->ListenersEnabled_);
  CHECK(Parsed->Ports_.Flow_ == 8100);
  CHECK(Parsed->Membership_.HeartbeatPeriod_ == Millis(50));
  CHECK(Parsed->Keys_.at(0).Secret_ == Original->Keys_.at(0).Secret_);
}

TEST_CASE("all errors in settings are reported at once with their places") {
  Findings Errors;
  CHECK_FALSE(readSettings("name = \"Seeb\"\n"
                           "domain = 4\n"
                           "address = \"localhost\"\n"
                           "platform = \"127.0.9.1:7400\"\n"
                           "enviroment = \"muscat\"\n"
                           "[[keys]]\n"
                           "id = 1\n"
                           "secret = \"0001\"\n"
                           "[ports]\n"
                           "flow = 70000\n"
                           "peer = 7102\n",
                           "e.toml", Errors));
  CHECK(Errors.text() ==
        "e.toml:1:1: missing key 'environment' in settings\n"
        "e.toml:1:8: 'name' is not a valid name (1 to 63 characters from a-z, "
        "0-9 and '-', starting with a letter)\n"
        "e.toml:2:10: 'domain' has the wrong type (expected a string)\n"
        "e.toml:3:11: 'address' is not an IPv4 address (for example "
        "\"127.0.0.1\")\n"
        "e.toml:5:1: unknown key 'enviroment' in settings (did you mean "
        "'environment'?)\n"
        "e.toml:8:10: 'secret' is too short (at least 32 hexadecimal digits)\n"
        "e.toml:9:1: port 7102 is used twice\n"
        "e.toml:10:8: 'flow' is out of range (from 1 to 65535)\n");
}

TEST_CASE("a missing settings file is reported as a finding") {
  Findings Errors;
  CHECK_FALSE(readSettingsFile("/nonexistent/e.toml", Errors));
  CHECK(Errors.text() ==
        "/nonexistent/e.toml:0:0: can't be read (is the path right?)\n");
}
