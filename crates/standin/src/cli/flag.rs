//! Flags that set one field of a struct of settings or faults.

use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches};

/// The definition of a flag: its name, its help, and what it sets.
#[derive(Debug)]
pub(super) struct Flag<T> {
    /// Its long name.
    pub(super) name: &'static str,
    /// The name of its value; empty for a switch.
    pub(super) value: &'static str,
    /// Its help text, one line.
    pub(super) help: &'static str,
    /// Parses its value into the settings.
    pub(super) set: fn(&mut T, &str) -> Result<(), String>,
}

/// Defines the flags for clap, which rejects invalid values.
pub(super) fn args<T: Default + 'static>(flags: &'static [Flag<T>]) -> Vec<Arg> {
    flags.iter().map(arg).collect()
}

fn arg<T: Default + 'static>(flag: &'static Flag<T>) -> Arg {
    let arg = Arg::new(flag.name).long(flag.name).help(flag.help);
    if flag.value.is_empty() {
        return arg.action(ArgAction::SetTrue);
    }
    let check = |text: &str| (flag.set)(&mut T::default(), text).map(|()| text.to_owned());
    arg.value_name(flag.value)
        .action(ArgAction::Append)
        .value_parser(check)
}

/// Returns the defaults with the given flags applied.
pub(super) fn resolve<T: Default>(flags: &[Flag<T>], matches: &ArgMatches) -> T {
    let mut settings = T::default();
    for flag in flags {
        let given: Vec<&str> = if flag.value.is_empty() {
            matches
                .get_flag(flag.name)
                .then_some("")
                .into_iter()
                .collect()
        } else {
            let values = matches.get_many::<String>(flag.name);
            values.into_iter().flatten().map(String::as_str).collect()
        };
        for text in given {
            (flag.set)(&mut settings, text).expect("clap has checked the value");
        }
    }
    settings
}

/// Parses a duration such as `250ms`.
pub(super) fn duration(text: &str) -> Result<Duration, String> {
    let units = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];
    units
        .iter()
        .find_map(|(unit, millis)| {
            let number: u64 = text.strip_suffix(unit)?.parse().ok()?;
            number.checked_mul(*millis).map(Duration::from_millis)
        })
        .ok_or_else(|| "write a duration such as 250ms, 2s, 5m or 1h".to_owned())
}

/// Parses a probability.
pub(super) fn probability(text: &str) -> Result<f64, String> {
    text.parse()
        .ok()
        .filter(|value| (0.0..=1.0).contains(value))
        .ok_or_else(|| "write a probability from 0 to 1, such as 0.25".to_owned())
}

/// Parses a number above zero.
pub(super) fn positive_number(text: &str) -> Result<f64, String> {
    text.parse()
        .ok()
        .filter(|value: &f64| value.is_finite() && *value > 0.0)
        .ok_or_else(|| "write a number above 0".to_owned())
}

/// Parses a whole number above zero.
pub(super) fn positive_count(text: &str) -> Result<usize, String> {
    parse_value(text)
        .ok()
        .filter(|&count| count > 0)
        .ok_or_else(|| "write a whole number above 0".to_owned())
}

/// Parses a value of any type that implements `FromStr`.
pub(super) fn parse_value<V: std::str::FromStr<Err: std::fmt::Display>>(
    text: &str,
) -> Result<V, String> {
    text.parse().map_err(|error: V::Err| error.to_string())
}
