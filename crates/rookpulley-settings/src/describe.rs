//! Formats the effective settings in the syntax of the file, for `--check`.

use crate::node::Node;
use std::fmt::{self, Debug, Display, Formatter, Write};

/// Writes TOML that parses to the same settings.
impl Display for Node {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let mut line = |name: &str, value: &dyn Display| writeln!(f, "{name} = {value}");
        line("nodeName", &quoted(&self.name))?;
        line("role", &quoted(&self.role))?;
        line("machineClass", &quoted(&self.class))?;
        line("serves", &list(&self.serves))?;
        line("ipAddress", &quoted(&self.ip))?;
        line("zone", &quoted(&self.zone))?;
        line("region", &quoted(&self.region))?;
        line(
            "internalPortRange",
            &format_args!("[{}, {}]", self.internal_ports.0, self.internal_ports.1),
        )?;
        line("seedNodes", &list(&self.seeds))?;
        line("firstStart", &self.first_start)?;
        line("lossCounted", &self.loss_counted)?;
        if let Some(data) = &self.data {
            line("dataDirectory", &quoted(&data.display()))?;
        }
        line("heartbeatMs", &self.heartbeat_ms)?;

        writeln!(f, "\n[zones]")?;
        for (zone, region) in &self.zones {
            writeln!(f, "{} = {}", quoted(zone), quoted(region))?;
        }

        writeln!(f, "\n[listenAddresses]")?;
        let listen = &self.listen;
        for (name, address) in [
            ("frontHttp", listen.front),
            ("readiness", listen.readiness),
            ("controlPlane", listen.control),
        ] {
            if let Some(address) = address {
                writeln!(f, "{name} = {}", quoted(&address))?;
            }
        }

        writeln!(f, "\n[limits]")?;
        let limits = &self.limits;
        write_numbers(
            f,
            &[
                ("cpuShare", &limits.cpu_share),
                ("cpuCores", &limits.cpu_cores),
                ("memoryMb", &limits.memory_mb),
                ("maxOpenFiles", &limits.max_open_files),
                ("linkMbps", &limits.link_mbps),
            ],
        )?;
        if let Some(disk) = limits.disk_mb {
            write_numbers(f, &[("diskMb", &disk)])?;
        }

        writeln!(f, "\n[faultTolerance]")?;
        let tolerance = &self.tolerance;
        write_numbers(
            f,
            &[
                ("machineLosses", &tolerance.machine_losses),
                ("zones", &tolerance.zone_losses),
                ("regionLosses", &tolerance.region_losses),
            ],
        )?;

        writeln!(f, "\n[bounds]")?;
        let bounds = &self.bounds;
        write_numbers(
            f,
            &[
                ("seedLagS", &bounds.seed_lag_s),
                ("addressReuseS", &bounds.address_reuse_s),
                ("contactMs", &bounds.contact_ms),
                ("ackDeadlineMs", &bounds.ack_deadline_ms),
                ("catchUpS", &bounds.catch_up_s),
                ("drainMs", &bounds.drain_ms),
                ("gracePeriodS", &bounds.grace_period_s),
                ("lossSlackMs", &bounds.loss_slack_ms),
                ("configApplyMs", &bounds.config_apply_ms),
                ("downgradeSlackMs", &bounds.downgrade_slack_ms),
                ("maxStretchMs", &bounds.max_stretch_ms),
                ("retryBudgetRatio", &bounds.retry_budget_ratio),
                ("retryWindowS", &bounds.retry_window_s),
                ("retryBudgetSlack", &bounds.retry_budget_slack),
                ("recoveryS", &bounds.recovery_s),
                ("historyRetentionS", &bounds.history_retention_s),
                ("releaseMs", &bounds.release_ms),
                ("revocationStrict", &bounds.revocation_strict),
                ("revokeMs", &bounds.revoke_ms),
                ("fencingEnabled", &bounds.fencing_enabled),
                ("leaseMs", &bounds.lease_ms),
                ("thawSlackMs", &bounds.thaw_slack_ms),
                ("usageWindowS", &bounds.usage_window_s),
                ("usageTolerance", &bounds.usage_tolerance),
                ("usageLateS", &bounds.usage_late_s),
            ],
        )?;
        let Some(cloud) = &self.cloud else {
            return Ok(());
        };
        writeln!(f, "\n[cloudApi]")?;
        writeln!(f, "address = {}", quoted(&cloud.address))?;
        writeln!(f, "duties = {}", list(&cloud.duties))?;
        write_numbers(
            f,
            &[
                ("ratePerS", &cloud.rate_per_s),
                ("dutiesPerS", &cloud.duties_per_s),
            ],
        )
    }
}

fn write_numbers(f: &mut Formatter, numbers: &[(&str, &dyn Debug)]) -> fmt::Result {
    numbers
        .iter()
        .try_for_each(|(name, number)| writeln!(f, "{name} = {number:?}"))
}

fn quoted(text: &dyn Display) -> String {
    let mut out = String::from("\"");
    for c in text.to_string().chars() {
        match c {
            '"' | '\\' => out.extend(['\\', c]),
            c if c.is_control() => _ = write!(out, "\\u{:04x}", u32::from(c)),
            c => out.push(c),
        }
    }
    out + "\""
}

fn list<T: Display>(items: &[T]) -> String {
    let quoted: Vec<String> = items.iter().map(|item| quoted(item)).collect();
    format!("[{}]", quoted.join(", "))
}
