//! The tool's command line.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional};

/// Command and its options.
#[derive(Clone, Debug)]
pub enum Action {
    /// Plays an experiment for each of its rules.
    Compare(Compare),
    /// Plays it for several values of one key.
    Sweep(Sweep),
    /// Draws a column of a result.
    Plot(Plot),
    /// Accounts for the worth of a day.
    Account(Account),
}

/// See [`Action::Account`].
#[derive(Clone, Debug)]
pub struct Account {
    /// Price of a reclaimable server as a share of the price on demand.
    pub reclaimable_price: f64,
    /// The report of a bench run.
    pub report: PathBuf,
    /// The log of all nodes in that run.
    pub log: PathBuf,
}

/// See [`Action::Compare`].
#[derive(Clone, Debug)]
pub struct Compare {
    /// The experiment.
    pub file: PathBuf,
    /// Where each play's figures go, as CSV.
    pub csv: Option<PathBuf>,
}

/// See [`Action::Sweep`].
#[derive(Clone, Debug)]
pub struct Sweep {
    /// The experiment.
    pub file: PathBuf,
    /// A key of the file, such as `traffic.clump` or `kinds.0.per_s`.
    pub key: String,
    /// Its values.
    pub values: Vec<f64>,
    /// Where each play's figures go, as CSV.
    pub csv: Option<PathBuf>,
}

/// See [`Action::Plot`].
#[derive(Clone, Debug)]
pub struct Plot {
    /// Figures of a sweep, as CSV.
    pub file: PathBuf,
    /// The column to draw.
    pub column: String,
    /// The picture, as SVG.
    pub svg: PathBuf,
}

/// Reads the command line; ends the process on a mistake or `--help`.
pub fn parse() -> Action {
    parser().run()
}

fn parser() -> OptionParser<Action> {
    let play = compare().command("play");
    let play = play.help("Plays an experiment for each of its rules and prints a table");
    let side_by_side = compare().command("compare");
    let side_by_side = side_by_side.help("The same as play");
    construct!([play, side_by_side, sweep(), plot(), account()])
        .to_options()
        .descr("Plays experiments over a model of callers, nodes and model engines.")
}

fn compare() -> OptionParser<Action> {
    let csv = csv();
    let file = positional::<PathBuf>("EXPERIMENT").help("Experiment, in TOML");
    construct!(Compare { csv, file })
        .map(Action::Compare)
        .to_options()
}

fn sweep() -> impl Parser<Action> {
    let key = long("key")
        .help("Key of the experiment to vary, such as traffic.clump or kinds.0.per_s")
        .argument::<String>("KEY");
    let values = long("values")
        .help("Its values, with commas between them")
        .argument::<String>("VALUES")
        .parse(numbers);
    let csv = csv();
    let file = positional::<PathBuf>("EXPERIMENT").help("Experiment, in TOML");
    construct!(Sweep {
        key,
        values,
        csv,
        file
    })
    .map(Action::Sweep)
    .to_options()
    .command("sweep")
    .help("Plays an experiment for several values of one key")
}

fn plot() -> impl Parser<Action> {
    let column = long("column")
        .help("Column to draw")
        .argument::<String>("COLUMN")
        .fallback("worth".to_owned());
    let svg = long("svg").help("Picture to write").argument("FILE");
    let file = positional::<PathBuf>("CSV").help("Figures of a sweep");
    construct!(Plot { column, svg, file })
        .map(Action::Plot)
        .to_options()
        .command("plot")
        .help("Draws a column of a sweep's figures, one line for each rule")
}

fn account() -> impl Parser<Action> {
    let reclaimable_price = long("reclaimable-price")
        .help("Price of a reclaimable server as a share of the price on demand")
        .argument::<f64>("SHARE")
        .guard(
            |share| (0.0..=1.0).contains(share),
            "--reclaimable-price: give a share from 0 to 1",
        )
        .fallback(1.0);
    let report = positional::<PathBuf>("REPORT").help("Report of a bench run of one day");
    let log = positional::<PathBuf>("LOG").help("Log of all nodes in that run");
    construct!(Account {
        reclaimable_price,
        report,
        log
    })
    .map(Action::Account)
    .to_options()
    .command("account")
    .help("Accounts for the worth that a day lost, by kind of request, moment and reason")
}

fn csv() -> impl Parser<Option<PathBuf>> {
    long("csv")
        .help("Writes each play's figures to this file")
        .argument("FILE")
        .optional()
}

fn numbers(text: String) -> Result<Vec<f64>, String> {
    let mut numbers = Vec::new();
    for part in text.split(',') {
        let number = part.trim().parse();
        numbers.push(number.map_err(|_| {
            format!("--values: `{part}` is no number; give numbers with commas between them")
        })?);
    }
    Ok(numbers)
}
