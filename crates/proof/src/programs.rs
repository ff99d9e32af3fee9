//! The programs under proof, built before their first use.

use std::path::PathBuf;
use std::process::Command;
use std::sync::OnceLock;

/// A program of this workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Program {
    /// The daemon.
    Daemon,
    /// The model engine's stand-in.
    Engine,
    /// The plain service's stand-in.
    Plain,
    /// The platform's stand-in.
    Platform,
}

impl Program {
    fn file_name(self) -> &'static str {
        match self {
            Self::Daemon => "apricotledged",
            Self::Engine => "standin-engine",
            Self::Plain => "standin-plain",
            Self::Platform => "standin-platform",
        }
    }

    /// Path of the built program.
    ///
    /// # Panics
    ///
    /// Panics if the workspace does not build.
    pub fn path(self) -> PathBuf {
        built().join(self.file_name())
    }
}

/// Directory of the built programs; builds them once, so that none is out of date.
fn built() -> &'static PathBuf {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT.get_or_init(|| {
        let directory = directory();
        let mut cargo = Command::new(env!("CARGO"));
        cargo.current_dir(env!("CARGO_MANIFEST_DIR"));
        cargo.args(["build", "--quiet", "--workspace", "--bins"]);
        if directory.ends_with("release") {
            cargo.arg("--release");
        }
        let status = cargo.status().expect("cargo can be started");
        assert!(status.success(), "the workspace does not build");
        directory
    })
}

fn directory() -> PathBuf {
    let own = std::env::current_exe().expect("a running program has a path");
    let mut directory = own.parent().expect("a program is in a directory");
    if directory.ends_with("deps") {
        directory = directory.parent().expect("deps is in the target directory");
    }
    directory.to_owned()
}
