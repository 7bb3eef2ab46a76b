//! Findings as people read them.

use super::Finding;

/// Returns one line for each finding, with its severity, place, problem and remedy. The
/// columns are aligned.
#[must_use]
pub fn text(findings: &[Finding]) -> String {
    let cells: Vec<_> = findings.iter().map(cells).collect();
    let width = |column: usize| {
        let widths = cells.iter().map(|row| row[column].chars().count());
        widths.max().unwrap_or_default()
    };
    let (severity_width, place_width) = (width(0), width(1));
    let line = |[severity, place, message]: &[String; 3]| {
        format!("{severity:severity_width$}  {place:place_width$}  {message}\n")
    };
    cells.iter().map(line).collect()
}

fn cells(finding: &Finding) -> [String; 3] {
    let problem = finding.problem.to_string();
    let message = match finding.problem.remedy() {
        Some(remedy) => format!("{problem}; {remedy}"),
        None => problem,
    };
    [
        finding.severity.as_str().to_owned(),
        single_line(&finding.place.to_string()),
        single_line(&message),
    ]
}

// Returns a text with its control characters escaped. Names come from a file and may
// contain line breaks or terminal sequences.
fn single_line(text: &str) -> String {
    let mut line = String::with_capacity(text.len());
    for c in text.chars() {
        if c.is_control() {
            line.extend(c.escape_default());
        } else {
            line.push(c);
        }
    }
    line
}
