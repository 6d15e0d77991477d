#include <harness/metrics_page.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>

namespace medlarmoor::harness {

namespace {

std::string readFile(const std::filesystem::path &File) {
  std::ifstream In(File);
  return {std::istreambuf_iterator<char>(In), {}};
}

} // namespace

Names matches(const std::string &Text, const char *Pattern) {
  const std::regex Wanted(Pattern);
  Names Out;
  for (std::sregex_iterator I(Text.begin(), Text.end(), Wanted), End; I != End;
       ++I)
    Out.insert((*I)[1]);
  return Out;
}

Names listedNames(const std::string &Section) {
  const std::string Page = readFile(
      std::filesystem::path(MEDLARMOOR_SOURCE_DIR) / "docs/metrics.md");
  const std::size_t Start = Page.find("\n## " + Section + "\n");
  if (Start == std::string::npos)
    return {};
  const std::size_t End = Page.find("\n## ", Start + 1);
  return matches(Page.substr(Start, End - Start), "\n\\| `([a-z_.]+)` \\|");
}

std::string sourceText() {
  const std::filesystem::path Root(MEDLARMOOR_SOURCE_DIR);
  std::string Out;
  for (const char *Folder : {"src", "apps"})
    for (const auto &Each :
         std::filesystem::recursive_directory_iterator(Root / Folder))
      if (Each.path().extension() == ".cpp" ||
          Each.path().extension() == ".hpp")
        Out += readFile(Each.path());
  return Out;
}

} // namespace medlarmoor::harness
