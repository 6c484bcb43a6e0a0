/** New settings, taken while requests are in flight. */
package clovermill.director.reload;
