/**
 * The command line, based on picocli: the only package that prints for users and chooses exit codes. 0: success; 1: a
 * failure, invalid input or a failed check; 2: invalid usage. {@link clovermill.cli.Main} handles the platform's two
 * invocations before any of this is loaded.
 */
package clovermill.cli;
