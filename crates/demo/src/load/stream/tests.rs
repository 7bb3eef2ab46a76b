use super::text;

#[test]
fn deltas_are_joined_and_the_rest_is_passed_over() {
    let body = b"id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"north \"}}]}\n\n\
        id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"face\"}}]}\n\n\
        data: [DONE]\n\n";
    assert_eq!(text(body), "north face");
    assert_eq!(text(b"data: {\"choices\":[{\"del"), "");
}
