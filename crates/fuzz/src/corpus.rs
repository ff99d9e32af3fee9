//! Known inputs in files.

use std::io;
use std::path::Path;

/// Names and bytes of the files in a folder, in order of their names.
///
/// # Errors
///
/// The folder or a file in it cannot be read.
pub fn inputs(folder: &Path) -> io::Result<Vec<(String, Vec<u8>)>> {
    let mut inputs = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        inputs.push((path.display().to_string(), std::fs::read(path)?));
    }
    inputs.sort();
    Ok(inputs)
}
