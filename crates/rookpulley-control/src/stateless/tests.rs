use super::*;

const CONTROLLERS: [Ipv4Addr; 3] = [
    Ipv4Addr::new(10, 1, 0, 1),
    Ipv4Addr::new(10, 2, 0, 1),
    Ipv4Addr::new(10, 3, 0, 1),
];

/// Creates a stateless controller in touch with all three controllers, none of which is in its zone.
fn stateless(host: u8) -> StatelessController {
    let address = SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, host), 7_731);
    let seeds = CONTROLLERS.map(|ip| SocketAddrV4::new(ip, 8_166)).to_vec();
    let mut stateless = StatelessController::new(StatelessStart {
        address,
        zone: "quay".into(),
        seeds,
        first_start: false,
    });
    for ip in CONTROLLERS {
        stateless.controller_connected(0.0, ip);
        stateless.handle_controller_message(
            0.0,
            ip,
            ControllerToProxy::ControllerInfo {
                zone: ip.to_string(),
                founder: None,
                knows_view: true,
            },
        );
        send_status(&mut stateless, 0.0, ip, true);
    }
    stateless
}

fn send_status(stateless: &mut StatelessController, now: f64, ip: Ipv4Addr, in_touch: bool) {
    stateless.handle_controller_message(
        now,
        ip,
        ControllerToProxy::Status {
            in_touch,
            configuration: 0,
            proxies: 0,
            controllers: Vec::new(),
        },
    );
}

fn redirects(stateless: &StatelessController, now: f64) -> Vec<Option<Ipv4Addr>> {
    (0..300)
        .map(|n| stateless.redirect(now, &format!("/rookpulley/locks/l{n}")))
        .collect()
}

#[test]
fn redirects_are_balanced_stable_per_request_and_vary_by_machine() {
    let (first, second) = (stateless(1), stateless(2));
    let (targets, others) = (redirects(&first, 1.0), redirects(&second, 1.0));
    for ip in CONTROLLERS {
        assert!(
            targets.iter().filter(|to| **to == Some(ip)).count() >= 70,
            "{ip}"
        );
    }
    assert_eq!(targets, redirects(&first, 900.0));
    assert!(targets.iter().zip(&others).filter(|(a, b)| a != b).count() >= 100);
}

#[test]
fn controllers_out_of_touch_silent_or_without_a_disk_are_not_redirect_targets() {
    let mut stateless = stateless(1);
    send_status(&mut stateless, 500.0, CONTROLLERS[0], false);
    stateless.controller_disconnected(CONTROLLERS[1]);
    // It reconnects and reports that it is in touch, but not that it has a disk.
    stateless.controller_connected(500.0, CONTROLLERS[1]);
    send_status(&mut stateless, 500.0, CONTROLLERS[1], true);
    assert!(
        redirects(&stateless, 1_000.0)
            .iter()
            .all(|to| *to == Some(CONTROLLERS[2]))
    );
    assert!(redirects(&stateless, 1_101.0).iter().all(Option::is_none));
}
