/** Stand-in of a plain service. */
@NullMarked
package org.currantslip.standin.service;

import org.jspecify.annotations.NullMarked;
