//! Checks that the catalogue is unambiguous and that `docs/EVENTS.md` agrees with it.

use base::Set;
use events::Code;

#[test]
fn numbers_and_names_are_unique() {
    let numbers: Set<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    let names: Set<&str> = Code::ALL.iter().map(|code| code.name()).collect();
    assert_eq!(numbers.len(), Code::ALL.len());
    assert_eq!(names.len(), Code::ALL.len());
}

#[test]
fn the_document_lists_exactly_the_catalogue() {
    let document = include_str!("../../../docs/EVENTS.md");
    let rows: Vec<&str> = document.lines().filter(|l| l.starts_with("| E")).collect();
    let mut codes: Vec<Code> = Code::ALL.to_vec();
    codes.sort_by_key(|code| code.number());
    let want: Vec<String> = codes
        .iter()
        .map(|c| {
            format!(
                "| E{} | {} | {:?} | {} |",
                c.number(),
                c.name(),
                c.level(),
                c.text()
            )
        })
        .collect();
    assert_eq!(rows, want);
}
