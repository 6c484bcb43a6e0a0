/** A planned end: clients go, connections end one by one. */
package clovermill.director.shutdown;
