/** What operators and fellow directors tell, handed to the parts that it concerns. */
package clovermill.director.operate;
