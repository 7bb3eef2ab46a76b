//! Reconstructs the history of one request from the logs of instances.
//!
//! Logs are files, one for each instance, or a collector's stream that names
//! the instance in each line. Lines of one instance stay in the order in which
//! it wrote them. Clocks of instances can differ by more than a request takes.
//! They are aligned by an event that all instances log within moments of each
//! other: a version that comes into force.
//!
//! Besides the lines of the request, the output has the lines in which its
//! instances logged state changes around that time, for endpoints only those
//! that the request was sent to, and the results of other requests at these
//! endpoints. Engineers usually look these up next.

mod line;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Write as _};

pub use self::line::Line;

/// How long before and after a request lines of its instances are included. An
/// endpoint that goes down or a lost log connection affects requests within
/// about this time.
const CONTEXT_SECONDS: f64 = 2.0;

/// Smaller differences do not count as a clock offset: a version reaches all
/// instances within two seconds.
const MIN_CLOCK_OFFSET_SECONDS: f64 = 2.0;

const REQUEST_FIELD: &str = "request";
const ENDPOINT_FIELD: &str = "endpoint";
const VERSION_FIELD: &str = "version";
const IN_FORCE_MESSAGE: &str = "version in force";
const ANSWERED_MESSAGE: &str = "request answered";
const UNANSWERED_MESSAGE: &str = "not answered";

/// Log lines, grouped by instance.
#[derive(Clone, Debug, Default)]
pub struct Logs {
    instances: BTreeMap<String, Vec<Line>>,
    skipped_lines: usize,
}

impl Logs {
    /// Adds the lines of `text`; those that name no instance belong to `name`.
    pub fn read(&mut self, name: &str, text: &str) {
        for text in text.lines().filter(|text| !text.trim().is_empty()) {
            match Line::parse(text) {
                Some(line) => {
                    let instance = line.instance.clone().unwrap_or_else(|| name.to_owned());
                    self.instances.entry(instance).or_default().push(line);
                }
                None => self.skipped_lines += 1,
            }
        }
    }

    /// Returns the history of the request with this id; `None` if no line
    /// mentions it.
    #[must_use]
    pub fn story(&self, id: &str) -> Option<Story> {
        let request_instances: BTreeSet<&String> = self
            .instances
            .iter()
            .filter(|(_, lines)| {
                lines
                    .iter()
                    .any(|line| line.field(REQUEST_FIELD) == Some(id))
            })
            .map(|(name, _)| name)
            .collect();
        let reference = request_instances.first()?;
        let mut parts: Vec<Part> = request_instances
            .iter()
            .map(|name| self.part(id, name, reference))
            .collect();
        parts.sort_by(|a, b| a.begin.total_cmp(&b.begin));
        let begin = parts.first()?.begin;
        for part in &mut parts {
            part.begin -= begin;
        }
        Some(Story {
            id: id.to_owned(),
            parts,
            skipped_lines: self.skipped_lines,
        })
    }

    fn part(&self, id: &str, instance: &str, reference: &str) -> Part {
        let none = Vec::new();
        let lines = self.instances.get(instance).unwrap_or(&none);
        let own = || {
            lines
                .iter()
                .filter(|line| line.field(REQUEST_FIELD) == Some(id))
        };
        let begin = own().map(|line| line.at).fold(f64::INFINITY, f64::min);
        let end = own().map(|line| line.at).fold(f64::NEG_INFINITY, f64::max);
        let near =
            |line: &&Line| line.at >= begin - CONTEXT_SECONDS && line.at <= end + CONTEXT_SECONDS;
        let clock_offset = self.clock_offset(instance, reference);
        let endpoints: BTreeSet<&str> = own()
            .filter_map(|line| line.field(ENDPOINT_FIELD))
            .collect();
        let elsewhere = |line: &&Line| matches!(line.field(ENDPOINT_FIELD), Some(at) if !endpoints.contains(at));
        let instance_lines = || {
            let lines = lines
                .iter()
                .filter(|line| line.field(REQUEST_FIELD).is_none());
            lines.filter(near)
        };
        let omitted_lines = instance_lines().filter(elsewhere).count();
        let shown = |line: &&Line| match line.field(REQUEST_FIELD) {
            Some(of) => of == id,
            None => near(line) && !elsewhere(line),
        };
        let others = endpoints
            .iter()
            .map(|endpoint| {
                self.others(
                    id,
                    endpoint,
                    begin - clock_offset,
                    end - clock_offset,
                    reference,
                )
            })
            .collect();
        Part {
            instance: instance.to_owned(),
            clock_offset,
            begin: begin - clock_offset,
            lines: lines
                .iter()
                .filter(shown)
                .map(|line| (line.at - begin, line.clone()))
                .collect(),
            omitted_lines,
            others,
        }
    }

    // Counts the results of other requests at an endpoint around that time.
    fn others(
        &self,
        id: &str,
        endpoint: &str,
        begin: f64,
        end: f64,
        reference: &str,
    ) -> OtherRequests {
        let mut others = OtherRequests {
            endpoint: endpoint.to_owned(),
            answered: 0,
            unanswered: 0,
        };
        for (name, lines) in &self.instances {
            let clock_offset = self.clock_offset(name, reference);
            let near = |line: &&Line| {
                let at = line.at - clock_offset;
                at >= begin - CONTEXT_SECONDS && at <= end + CONTEXT_SECONDS
            };
            let at = |line: &&Line| line.field(ENDPOINT_FIELD) == Some(endpoint);
            let of_others = |line: &&Line| line.field(REQUEST_FIELD).is_some_and(|of| of != id);
            for line in lines.iter().filter(near).filter(at).filter(of_others) {
                match line.message.as_str() {
                    ANSWERED_MESSAGE => others.answered += 1,
                    UNANSWERED_MESSAGE => others.unanswered += 1,
                    _ => {}
                }
            }
        }
        others
    }

    // Returns by how many seconds an instance's clock is ahead of another's: the
    // median over the versions that both logged as in force, or 0 if the
    // propagation delay of a version explains the difference.
    fn clock_offset(&self, instance: &str, reference: &str) -> f64 {
        let (own, theirs) = (self.versions(instance), self.versions(reference));
        let mut differences: Vec<f64> = own
            .iter()
            .filter_map(|(version, at)| theirs.get(version).map(|theirs| at - theirs))
            .collect();
        differences.sort_by(f64::total_cmp);
        let median = differences.get(differences.len() / 2).copied();
        median
            .filter(|by| by.abs() > MIN_CLOCK_OFFSET_SECONDS)
            .unwrap_or(0.0)
    }

    fn versions(&self, instance: &str) -> BTreeMap<&str, f64> {
        let lines = self.instances.get(instance).into_iter().flatten();
        let mut versions = BTreeMap::new();
        for line in lines.filter(|line| line.message == IN_FORCE_MESSAGE) {
            if let Some(version) = line.field(VERSION_FIELD) {
                // A restarted instance logs the version again, much later.
                versions.entry(version).or_insert(line.at);
            }
        }
        versions
    }
}

/// The log lines about one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Story {
    id: String,
    parts: Vec<Part>,
    skipped_lines: usize,
}

/// The lines of one instance about the request.
#[derive(Clone, Debug, PartialEq)]
struct Part {
    instance: String,
    // Seconds by which its clock is ahead.
    clock_offset: f64,
    // Seconds after the beginning of the story.
    begin: f64,
    // Seconds after the beginning of the part, and the line.
    lines: Vec<(f64, Line)>,
    // Lines about endpoints that the request wasn't sent to.
    omitted_lines: usize,
    others: Vec<OtherRequests>,
}

/// The results of other requests at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
struct OtherRequests {
    endpoint: String,
    answered: usize,
    unanswered: usize,
}

impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let instances = self.parts.len();
        let instances = count(instances, "instance");
        writeln!(f, "request {} at {instances}", self.id)?;
        for part in &self.parts {
            write!(f, "{part}")?;
        }
        if self.skipped_lines > 0 {
            let lines = count(self.skipped_lines, "line");
            writeln!(f, "{lines} left out that are no log lines")?;
        }
        Ok(())
    }
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.instance)?;
        if self.clock_offset != 0.0 {
            write!(f, " (its clock is {:+.1} s off)", self.clock_offset)?;
        }
        writeln!(f)?;
        for (after, line) in &self.lines {
            let own = if line.field(REQUEST_FIELD).is_some() {
                '>'
            } else {
                ' '
            };
            let at = self.begin + after;
            writeln!(f, "{own} {at:+9.3} {:<5} {}", line.level, line.text)?;
        }
        if self.omitted_lines > 0 {
            let lines = count(self.omitted_lines, "line");
            writeln!(f, "  {lines} about other endpoints left out")?;
        }
        for others in &self.others {
            writeln!(
                f,
                "  other requests at {} in that time: {} answered, {} not answered",
                others.endpoint, others.answered, others.unanswered
            )?;
        }
        Ok(())
    }
}

fn count(number: usize, of: &str) -> String {
    let plural = if number == 1 { "" } else { "s" };
    format!("{number} {of}{plural}")
}

/// Returns the message for a request that no line mentions.
#[must_use]
pub fn missing(id: &str, logs: &Logs) -> String {
    let mut text = format!("no line is about request {id}\n");
    for (name, lines) in &logs.instances {
        let first = lines.first().map_or(0.0, |line| line.at);
        let last = lines.last().map_or(0.0, |line| line.at);
        let count = lines.len();
        let span = last - first;
        writeln!(text, "{name}: {count} lines over {span:.1} s").expect("a string takes all");
    }
    text.push_str(
        "Ids are cut to 40 plain characters. It may have come to an instance whose log is \
         missing here, or never have arrived.\n",
    );
    text
}

#[cfg(test)]
mod tests;
