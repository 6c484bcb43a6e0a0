/**
 * The graceful shutdown of a director. Entry type: {@link clovermill.director.shutdown.GracefulShutdown}; the phases
 * and their times are decided by {@link clovermill.director.shutdown.decide.ShutdownSequence}.
 */
package clovermill.director.shutdown;
