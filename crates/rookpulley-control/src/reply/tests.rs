use super::*;

#[test]
fn a_drain_that_only_this_controller_knows_is_not_promised_to_have_done_nothing() {
    let status = |acceptance| Reply::of_acceptance(acceptance, false).status;
    let all = [Acceptance::Durable, Acceptance::Local, Acceptance::Rejected];
    assert_eq!(all.map(status), [200, 504, 503]);
}
