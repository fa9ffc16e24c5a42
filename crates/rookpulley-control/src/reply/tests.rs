use super::*;

#[test]
fn an_unreplicated_drain_gets_504_instead_of_503() {
    let status = |acceptance| Reply::of_acceptance(acceptance, false).status;
    let all = [Acceptance::Durable, Acceptance::Local, Acceptance::Rejected];
    assert_eq!(all.map(status), [200, 504, 503]);
}
