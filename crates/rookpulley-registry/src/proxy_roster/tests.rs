use super::*;

#[test]
fn a_disconnected_proxy_counts_for_a_while_and_one_that_came_back_for_good() {
    let mut roster = ProxyRoster::default();
    ["a", "b"]
        .into_iter()
        .for_each(|name| roster.connected(name));
    roster.disconnected(0.0, "a");
    roster.disconnected(0.0, "b");
    roster.connected("b");
    roster.expire(11_999.0);
    assert_eq!(roster.count(), 2);
    roster.expire(12_000.0);
    assert_eq!(roster.count(), 1);
}
