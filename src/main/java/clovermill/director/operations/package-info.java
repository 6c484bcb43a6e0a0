/** Operators' calls and the outages that peer directors replicate, passed to the parts that carry them out. */
package clovermill.director.operations;
