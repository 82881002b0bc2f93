/** The demonstration, which checks a running fleet step by step. */
@NullMarked
package org.currantslip.standin.demo;

import org.jspecify.annotations.NullMarked;
