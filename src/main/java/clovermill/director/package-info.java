/**
 * One director process: startup, wiring of its parts, and shutdown. It contains no routing or protocol logic.
 *
 * <p>Entry type: {@link clovermill.director.Service}. It reads the settings and builds an {@code Assembly}, which wires
 * the planes in this order: {@code DirectorRuntime} (loop, deadlines, memory budget), {@code UsageAccounting} (ledger,
 * gossip), {@code PolicyPlane} (placement, policy store), {@code DataPlane} (router, proxy, upstream pool, server) and
 * {@code ControlPlane} (discovery, handover, admin server, reload). {@code ProcessSignals} maps SIGTERM to a graceful
 * shutdown and SIGHUP to a reload. {@code ClassDataArchiveRun} is part of the build only.
 *
 * <p>Source: docs/design/service.md.
 */
package clovermill.director;
