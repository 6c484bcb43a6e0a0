/**
 * The scale run ({@code make prove-scale}): cost and speed of the control plane of a director at fleet sizes up to
 * the planned one. {@link clovermill.prove.scale.ScaleProof} is the entry point;
 * {@link clovermill.prove.scale.HollowProcess} runs many hollow directors, which are the control-plane classes wired
 * as in {@code serve}, without clients. They communicate only through {@link
 * clovermill.prove.scale.LinkEmulator}, which applies delay, loss and partitions by location and counts every
 * datagram. Results are
 * rows of {@link clovermill.prove.scale.ResultTable}.
 */
package clovermill.prove.scale;
