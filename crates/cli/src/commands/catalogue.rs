//! `catalogue`: prints the catalogue of log events.

use events::Code;

use crate::error::CliError;
use crate::exit::Exit;
use crate::options::CatalogueFormat;
use crate::output::{Event, Format, Report, print, write};

/// Runs the command.
pub fn run(format: CatalogueFormat) -> Result<Exit, CliError> {
    let events: Vec<Event> = Code::ALL.iter().copied().map(event).collect();
    match format {
        CatalogueFormat::Markdown => write(&markdown(&events))?,
        CatalogueFormat::Table => print(&Report::Catalogue { events }, Format::Table)?,
        CatalogueFormat::Json => print(&Report::Catalogue { events }, Format::Json)?,
    }
    Ok(Exit::Success)
}

fn event(code: Code) -> Event {
    Event {
        number: code.number(),
        name: code.name(),
        level: format!("{:?}", code.level()),
        meaning: code.text(),
    }
}

fn markdown(events: &[Event]) -> String {
    let mut lines = vec![
        "| number | name | level | meaning |".to_owned(),
        "|---|---|---|---|".to_owned(),
    ];
    for event in events {
        lines.push(format!(
            "| E{} | {} | {} | {} |",
            event.number, event.name, event.level, event.meaning
        ));
    }
    lines.join("\n")
}
