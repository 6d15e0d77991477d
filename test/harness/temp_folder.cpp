#include <harness/temp_folder.hpp>

#include <cstdlib>
#include <fstream>

namespace medlarmoor::harness {

TempFolder::TempFolder() {
  std::string Template =
      (std::filesystem::temp_directory_path() / "medlarmoor-XXXXXX").string();
  if (mkdtemp(Template.data()) != nullptr)
    Path_ = Template;
}

TempFolder::~TempFolder() {
  std::error_code Ignored;
  if (!Keep_ && !Path_.empty())
    std::filesystem::remove_all(Path_, Ignored);
}

std::string TempFolder::write(const std::string &Name,
                              const std::string &Text) const {
  const std::filesystem::path File = Path_ / Name;
  std::ofstream(File) << Text;
  return File.string();
}

} // namespace medlarmoor::harness
