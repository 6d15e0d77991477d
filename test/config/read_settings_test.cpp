#include <medlarmoor/config/read_settings.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::config;

namespace {

const std::string Example = MEDLARMOOR_SOURCE_DIR "/examples/entry.toml";

} // namespace

TEST_CASE("the example settings read as the defaults that they state") {
  Findings Found;
  const std::optional<Settings> Read = readSettingsFile(Example, Found);
  INFO(Found.text());
  REQUIRE(Read);
  CHECK(Read->Name_ == EntryName("seeb-1"));
  CHECK(Read->Platform_.text() == "127.0.9.1:7400");
  CHECK(Read->Keys_.at(0).Secret_.size() == 16);
  CHECK(Read->Neighbours_.at(0).Address_.text() == "127.0.11.2");
  const Settings Defaults;
  CHECK(Read->Flow_.Flows_ == Defaults.Flow_.Flows_);
  CHECK(Read->Requests_.Horizon_ == Defaults.Requests_.Horizon_);
  CHECK(Read->Membership_.Lease_ == Defaults.Membership_.Lease_);
  CHECK(Read->Ports_.Config_ == Defaults.Ports_.Config_);
}

TEST_CASE("written settings read back") {
  Findings Found;
  std::optional<Settings> First = readSettingsFile(Example, Found);
  REQUIRE(First);
  First->Doors_ = false;
  First->Ports_.Flow_ = 8100;
  First->Membership_.Heartbeat_ = Millis(50);
  const std::string Text = writeSettings(*First);
  const std::optional<Settings> Second = readSettings(Text, "b", Found);
  INFO(Found.text());
  REQUIRE(Second);
  CHECK(writeSettings(*Second) == Text);
  CHECK_FALSE(Second->Doors_);
  CHECK(Second->Ports_.Flow_ == 8100);
  CHECK(Second->Membership_.Heartbeat_ == Millis(50));
  CHECK(Second->Keys_.at(0).Secret_ == First->Keys_.at(0).Secret_);
}

TEST_CASE("all findings of wrong settings come at once with their places") {
  Findings Found;
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
                           "e.toml", Found));
  CHECK(Found.text() ==
        "e.toml:1:1: missing key 'environment' in settings\n"
        "e.toml:1:8: 'name' is not a name (1 to 63 of a-z, 0-9 and '-', a "
        "letter first)\n"
        "e.toml:2:10: 'domain' has the wrong type (it takes a string)\n"
        "e.toml:3:11: 'address' is not an IPv4 address (for example "
        "\"127.0.0.1\")\n"
        "e.toml:5:1: unknown key 'enviroment' in settings (did you mean "
        "'environment'?)\n"
        "e.toml:8:10: 'secret' is short (at least 32 hexadecimal digits)\n"
        "e.toml:9:1: port 7102 is used twice\n"
        "e.toml:10:8: 'flow' is out of range (from 1 to 65535)\n");
}

TEST_CASE("a settings file that is missing is a finding") {
  Findings Found;
  CHECK_FALSE(readSettingsFile("/nonexistent/e.toml", Found));
  CHECK(Found.text() ==
        "/nonexistent/e.toml:0:0: can't be read (is the path right?)\n");
}
