use log::{Level, Record};

use super::line;

#[test]
fn fields_follow_the_message() {
    let fields = [("version", "7"), ("reason", "no \"such\" key")];
    let line = line(
        &Record::builder()
            .args(format_args!("bundle refused"))
            .level(Level::Warn)
            .key_values(&fields)
            .build(),
    );
    assert_eq!(line, r#"bundle refused version=7 reason="no \"such\" key""#);
}
