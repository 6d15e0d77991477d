#ifndef MEDLARMOOR_HARNESS_TEMP_FOLDER_HPP
#define MEDLARMOOR_HARNESS_TEMP_FOLDER_HPP

#include <filesystem>
#include <string>

namespace medlarmoor::harness {

/// A new folder under the system's temporary folder, removed with all in it at
/// the end unless it is kept.
class TempFolder {
public:
  TempFolder();
  ~TempFolder();
  TempFolder(const TempFolder &) = delete;
  TempFolder &operator=(const TempFolder &) = delete;

  [[nodiscard]] const std::filesystem::path &path() const noexcept {
    return Path_;
  }
  /// Leaves the folder behind, for a look at the logs of a failed run.
  void keep() noexcept { Keep_ = true; }
  /// Writes a file into the folder and returns its path.
  [[nodiscard]] std::string write(const std::string &Name,
                                  const std::string &Text) const;

private:
  std::filesystem::path Path_;
  bool Keep_ = false;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_TEMP_FOLDER_HPP
