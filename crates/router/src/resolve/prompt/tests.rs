use super::Prompt;

fn prefix(body: &str) -> String {
    Prompt::read(body.as_bytes()).unwrap().prefix
}

const FIRST: &str = r#"{"model":"m","messages":[{"role":"system","content":"topo"},
    {"role":"user","content":"ice lines"}]}"#;

// A chat whose id changed with each turn would never find its warm context.
#[test]
fn all_turns_of_a_chat_have_one_opening() {
    let second = r#"{"messages":[{"role":"system","content":"topo"},
        {"content":"ice lines","role":"user"},{"role":"assistant","content":"..."},
        {"role":"user","content":[{"type":"text","text":"more"}]}],"stream":true}"#;
    assert_eq!(prefix(FIRST), prefix(second));
}

#[test]
fn other_chats_have_other_openings() {
    let other = FIRST.replace("ice lines", "rock");
    assert_ne!(prefix(FIRST), prefix(&other));
    assert_ne!(prefix(r#"{"prompt":"a"}"#), prefix(r#"{"prompt":"b"}"#));
}

#[test]
fn the_callers_limit_is_found_under_either_name() {
    let limit = |body: &str| Prompt::read(body.as_bytes()).unwrap().answer_tokens();
    assert_eq!(limit(r#"{"max_tokens":7}"#), Some(7));
    assert_eq!(
        limit(r#"{"max_tokens":7,"max_completion_tokens":9}"#),
        Some(9)
    );
    assert_eq!(limit(FIRST), None);
}

#[test]
fn what_is_no_prompt_is_an_error() {
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
