//! Paths of the workspace's binaries.

use {
    super::{HarnessError, Result},
    std::{
        env,
        path::{Path, PathBuf},
    },
};

/// Folders of the profile folder that hold executables of tests and examples.
const INNER_FOLDERS: [&str; 2] = ["deps", "examples"];

/// Returns the profile folder, such as `target/debug`, from the running executable's location.
///
/// # Errors
///
/// Fails if the location of the executable is unknown.
pub fn profile_folder() -> Result<PathBuf> {
    let failed = |fault: &str| HarnessError::report("current executable", fault);
    let executable = env::current_exe().map_err(|error| failed(&error.to_string()))?;
    let folder = executable.parent().ok_or_else(|| failed("no folder"))?;
    let inner = INNER_FOLDERS.iter().any(|inner| folder.ends_with(inner));
    let profile = if inner { folder.parent() } else { Some(folder) };
    profile
        .map(Path::to_owned)
        .ok_or_else(|| failed("no profile folder"))
}

/// Returns the path of a stand-in or tool of this package.
///
/// # Errors
///
/// Fails if it has not been built.
pub fn example(name: &str) -> Result<PathBuf> {
    existing(profile_folder()?.join("examples").join(name))
}

/// Returns the path of a shipped binary.
///
/// # Errors
///
/// Fails if it has not been built.
pub fn binary(name: &str) -> Result<PathBuf> {
    existing(profile_folder()?.join(name))
}

fn existing(path: PathBuf) -> Result<PathBuf> {
    if path.is_file() {
        return Ok(path);
    }
    let fault = "not built; run `cargo build --workspace --bins --examples`";
    Err(HarnessError::report(path.display(), fault))
}
