package clovermill.director;

import clovermill.config.settings.SettingsFile;
import clovermill.controlplane.gossip.GossipSettings;
import clovermill.controlplane.policystore.PolicyStoreSettings;
import clovermill.ledger.LedgerSettings;
import java.util.Optional;

/**
 * The settings of the optional subsystems; a subsystem without settings is off.
 *
 * @param ledger the usage ledger, member {@code ledger}
 * @param gossip the gossip between peer directors, member {@code fleet}
 * @param policyStore the replicated policy store, member {@code accord}
 */
record SubsystemSettings(Optional<LedgerSettings> ledger, Optional<GossipSettings> gossip,
        Optional<PolicyStoreSettings> policyStore) {

    /** All optional subsystems are off. */
    static final SubsystemSettings NONE = new SubsystemSettings(Optional.empty(), Optional.empty(), Optional.empty());

    /**
     * Reads the members of a settings file.
     *
     * @throws SettingsFile.InvalidSettingsException naming the file, the member and the reason if one cannot be used
     */
    static SubsystemSettings read(SettingsFile file) throws SettingsFile.InvalidSettingsException {
        return new SubsystemSettings(file.part("ledger", LedgerSettings.class),
                file.part("fleet", GossipSettings.class), file.part("accord", PolicyStoreSettings.class));
    }
}
