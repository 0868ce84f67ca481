//! Paths of the executables that the workspace builds.

use {
    super::{HarnessError, Result},
    std::{
        env,
        path::{Path, PathBuf},
    },
};

/// Subfolders of the profile folder in which Cargo puts the executables of tests and examples.
const SUBFOLDERS: [&str; 2] = ["deps", "examples"];

/// Returns the profile folder of the build, such as `target/debug`, derived from the path of the
/// running executable.
///
/// # Errors
///
/// Returns an error if the path of the running executable cannot be determined or has too few
/// components.
pub fn profile_folder() -> Result<PathBuf> {
    let failed = |fault: &str| HarnessError::report("current executable", fault);
    let executable = env::current_exe().map_err(|error| failed(&error.to_string()))?;
    let folder = executable
        .parent()
        .ok_or_else(|| failed("path has no parent folder"))?;
    let is_subfolder = SUBFOLDERS.iter().any(|name| folder.ends_with(name));
    let profile = if is_subfolder {
        folder.parent()
    } else {
        Some(folder)
    };
    profile
        .map(Path::to_owned)
        .ok_or_else(|| failed("path has no profile folder"))
}

/// Returns the path of a stand-in or tool, which this package builds as an example.
///
/// # Errors
///
/// Returns an error if the executable has not been built.
pub fn example(name: &str) -> Result<PathBuf> {
    require_file(profile_folder()?.join("examples").join(name))
}

/// Returns the path of a shipped binary of the workspace.
///
/// # Errors
///
/// Returns an error if the executable has not been built.
pub fn binary(name: &str) -> Result<PathBuf> {
    require_file(profile_folder()?.join(name))
}

fn require_file(path: PathBuf) -> Result<PathBuf> {
    if path.is_file() {
        return Ok(path);
    }
    let fault = "not built; run `cargo build --workspace --bins --examples`";
    Err(HarnessError::report(path.display(), fault))
}
