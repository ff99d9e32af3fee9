//! `explain`: tells the story of one request from the logs of all nodes.

mod line;
mod story;

use std::io::Read;
use std::path::PathBuf;

use snafu::ResultExt;

use self::line::Line;
use self::story::Story;
use super::read_file;
use crate::error::{CliError, InputSnafu};
use crate::exit::Exit;
use crate::output::write;

/// Runs the command.
pub fn run(id: &str, files: &[PathBuf]) -> Result<Exit, CliError> {
    let mut lines = Vec::new();
    for file in files {
        let name = file.file_stem().unwrap_or_default().to_string_lossy();
        lines.extend(parse(&read_file(file)?, &name));
    }
    if files.is_empty() {
        let mut text = String::new();
        std::io::stdin()
            .read_to_string(&mut text)
            .context(InputSnafu)?;
        lines.extend(parse(&text, "-"));
    }
    let Some(story) = Story::find(id, lines) else {
        write(&format!(
            "No line names the request {id}. Give the logs of all nodes, from a second before it."
        ))?;
        return Ok(Exit::NotFound);
    };
    write(&story.to_string())?;
    Ok(Exit::Success)
}

fn parse(text: &str, source: &str) -> Vec<Line> {
    let lines = text.lines().filter_map(|line| Line::parse(line, source));
    lines.collect()
}
