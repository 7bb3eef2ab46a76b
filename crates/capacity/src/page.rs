//! Writes the capacity page.

use std::fmt::{self, Write as _};

use godwitpost_bench::figure::{Bound, Figure};

use crate::letter;
use crate::role::{Cost, Measure};

/// The part of the page that says how each role's load is carried.
const MECHANISMS: &str = include_str!("page/mechanisms.md");

/// What the roles of one instance cost in all.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sum {
    /// Bytes of memory.
    pub memory: f64,
    /// Share of one core.
    pub core: f64,
    /// Bytes a second.
    pub bytes: f64,
}

impl Sum {
    /// Sums the control part of some measures.
    #[must_use]
    pub fn of(measures: &[Measure]) -> Self {
        let mut sum = Self::default();
        for measure in measures.iter().filter(|measure| measure.control) {
            match measure.cost {
                Cost::Memory => sum.memory += measure.total(),
                Cost::Time { .. } => sum.core += measure.total(),
                Cost::Traffic { .. } => sum.bytes += measure.total(),
            }
        }
        sum
    }

    /// Returns whether the sums keep the letter's budgets.
    #[must_use]
    pub fn holds(&self) -> bool {
        self.memory <= letter::MEMORY && self.core <= letter::CORE && self.bytes <= letter::BYTES
    }
}

/// Returns the page for some measures.
///
/// # Panics
///
/// Never: writing to a string can't fail.
#[must_use]
pub fn render(measures: &[Measure], live: &[Figure], command: &str) -> String {
    let mut page = String::new();
    write(&mut page, measures, live, command).expect("writing to a string never fails");
    page
}

fn write(page: &mut String, measures: &[Measure], live: &[Figure], command: &str) -> fmt::Result {
    writeln!(page, "# Capacity at the letter's size\n")?;
    writeln!(page, "Written by `{command}`; run it again after a change.")?;
    writeln!(page, "Times are of the machine it ran on.\n")?;
    sizes(page)?;
    table(page, measures)?;
    sums(page, &Sum::of(measures))?;
    writeln!(page)?;
    if !live.is_empty() {
        running(page, live)?;
    }
    page.write_str(MECHANISMS)
}

fn sizes(page: &mut String) -> fmt::Result {
    writeln!(page, "## Sizes\n")?;
    writeln!(page, "| what | in all | for each instance |\n|---|---|---|")?;
    let mut row = |what: &str, all: f64| {
        let each = all / letter::INSTANCES;
        writeln!(page, "| {what} | {all:.0} | {each:.1} |")
    };
    row("instances", letter::INSTANCES)?;
    row("runners", letter::RUNNERS)?;
    row("requests a second", letter::REQUESTS)?;
    row("tokens a second", letter::TOKENS)?;
    row("chats that may return", letter::CHATS)?;
    row("workspaces, known to every instance", letter::WORKSPACES)?;
    row("changes of configuration a day", letter::CHANGES)?;
    let flying = letter::REQUESTS * letter::IN_FLIGHT;
    row("requests in flight", flying)?;
    writeln!(page)
}

fn table(page: &mut String, measures: &[Measure]) -> fmt::Result {
    writeln!(page, "## Measured slopes\n")?;
    writeln!(
        page,
        "Bytes or nanoseconds at each size, the fitted line, and what it gives at\n\
         the letter's size on one instance. *Data* rows grow with requests and are\n\
         not held against the control budget.\n"
    )?;
    writeln!(
        page,
        "| role | what | measured at | line | letter's size | one instance | part |\n\
         |---|---|---|---|---|---|---|"
    )?;
    for measure in measures {
        row(page, measure)?;
    }
    writeln!(page)
}

fn running(page: &mut String, live: &[Figure]) -> fmt::Result {
    writeln!(page, "## Routers that run\n")?;
    writeln!(
        page,
        "Real routers in one process, with stub peers and endpoints as many as the\n\
         size says: processor time of the control thread, bytes on the wire with all\n\
         headers, and processor time of the traffic threads for a short request and a\n\
         streamed token. `control.N` is a fleet of N instances.\n"
    )?;
    writeln!(
        page,
        "| figure | value | unit | bound | |\n|---|---|---|---|---|"
    )?;
    for figure in live {
        let Figure {
            name, value, unit, ..
        } = figure;
        let bound = match figure.bound {
            Bound::AtLeast(limit) => format!("at least {limit}"),
            Bound::AtMost(limit) => format!("at most {limit}"),
            Bound::Free => String::new(),
        };
        let verdict = if figure.holds() { "" } else { "**over**" };
        writeln!(
            page,
            "| {name} | {value:.4} | {unit} | {bound} | {verdict} |"
        )?;
    }
    writeln!(page)
}

fn row(page: &mut String, measure: &Measure) -> fmt::Result {
    let line = measure.line();
    let points: Vec<String> = measure
        .points
        .iter()
        .map(|(x, y)| format!("{x:.0}: {}", unit(measure.cost, *y)))
        .collect();
    let total = match measure.cost {
        Cost::Memory => format!("{:.2} MB", measure.total() / 1e6),
        Cost::Time { rate } => format!("{:.5}% of a core at {rate:.3}/s", measure.total() * 100.0),
        Cost::Traffic { rate } => format!("{:.0} B/s at {rate:.3}/s", measure.total()),
    };
    let part = if measure.control { "control" } else { "data" };
    writeln!(
        page,
        "| {} | {} | {} | {} + {} for each of the {} | {:.0} | {total} | {part} |",
        measure.role,
        measure.what,
        points.join("; "),
        unit(measure.cost, line.base),
        unit(measure.cost, line.slope),
        measure.against,
        measure.size,
    )
}

fn unit(cost: Cost, value: f64) -> String {
    match cost {
        Cost::Memory | Cost::Traffic { .. } => format!("{value:.1} B"),
        Cost::Time { .. } => format!("{value:.1} ns"),
    }
}

fn sums(page: &mut String, sum: &Sum) -> fmt::Result {
    writeln!(page, "## Control of one instance against the budget\n")?;
    writeln!(
        page,
        "| what | sum of the rows above | budget |\n|---|---|---|"
    )?;
    let memory = letter::MEMORY / 1e6;
    writeln!(
        page,
        "| memory | {:.1} MB | {memory:.1} MB |",
        sum.memory / 1e6
    )?;
    let core = letter::CORE * 100.0;
    writeln!(
        page,
        "| processor | {:.3}% of a core | {core}% |",
        sum.core * 100.0
    )?;
    writeln!(
        page,
        "| bytes | {:.0} B/s | {:.0} B/s |",
        sum.bytes,
        letter::BYTES
    )
}
