use super::Prompt;

fn prefix(body: &str) -> String {
    Prompt::read(body.as_bytes()).unwrap().prefix
}

const FIRST: &str = r#"{"model":"m","messages":[{"role":"system","content":"topo"},
    {"role":"user","content":"ice lines"}]}"#;

// A chat whose id changed with each turn would never be sent to its cached
// prefix.
#[test]
fn all_turns_of_a_chat_have_the_same_prefix() {
    let second = r#"{"messages":[{"role":"system","content":"topo"},
        {"content":"ice lines","role":"user"},{"role":"assistant","content":"..."},
        {"role":"user","content":[{"type":"text","text":"more"}]}],"stream":true}"#;
    assert_eq!(prefix(FIRST), prefix(second));
}

#[test]
fn different_chats_have_different_prefixes() {
    let other = FIRST.replace("ice lines", "rock");
    assert_ne!(prefix(FIRST), prefix(&other));
    assert_ne!(prefix(r#"{"prompt":"a"}"#), prefix(r#"{"prompt":"b"}"#));
}

#[test]
fn answer_limit_is_read_from_either_field() {
    let limit = |body: &str| Prompt::read(body.as_bytes()).unwrap().answer_tokens();
    assert_eq!(limit(r#"{"max_tokens":7}"#), Some(7));
    assert_eq!(
        limit(r#"{"max_tokens":7,"max_completion_tokens":9}"#),
        Some(9)
    );
    assert_eq!(limit(FIRST), None);
}

#[test]
fn invalid_prompt_is_an_error() {
    for body in [
        "",
        "[]",
        "{",
        r#"{"messages":"hello"}"#,
        r#"{"max_tokens":-1}"#,
    ] {
        assert!(Prompt::read(body.as_bytes()).is_err(), "{body}");
    }
}
